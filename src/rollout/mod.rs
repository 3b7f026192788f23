//! Rollouts: moving a service's traffic to another version of its software. Covers which box decides, how the traffic
//! is split, and how a bad version is detected.
//!
//! This module does no I/O. [`Rollouts`] is a box's state machine: `distribution` passes it the messages received and
//! carries out the [`RolloutAction`]s that it returns. `docs/design/rollouts.md` compares the alternatives.

use super::*;

use crate::{
  fleet::{Endpoint, EndpointState},
  store::{self, Entry, Key, Refusal, Reply, Revision, StoreRequest},
};

use self::{
  evidence_book::EvidenceBook, judge::judge, pending_call::PendingCall, plan::Rung, stored::Stored,
};

pub use self::{
  canary::Canary, evidence::Evidence, fleet_view::FleetView, lane::Lane, observer::Observer,
  order::Order, record::Record, rollout::Rollout, rollout_action::RolloutAction,
  rollouts::Rollouts, share_limits::ShareLimits, stage::Stage, tally::Tally, traffic::Traffic,
  traffic_table::TrafficTable, word::Word,
};

mod canary;
mod evidence;
mod evidence_book;
mod fleet_view;
mod judge;
pub mod keys;
mod lane;
mod observer;
mod order;
mod pending_call;
mod plan;
mod record;
#[allow(clippy::module_inception)]
mod rollout;
mod rollout_action;
mod rollouts;
mod share_limits;
mod stage;
mod stored;
mod tally;
mod traffic;
mod traffic_table;
mod word;
