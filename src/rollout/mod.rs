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
  canary_step::CanaryStep, evidence_history::EvidenceHistory, pending_call::PendingCall,
  regression::find_regression, stored::Stored,
};

pub use self::{
  canary::Canary, evidence::Evidence, fleet_view::FleetView, lane::Lane, observer::Observer,
  order::Order, record::Record, rollout::Rollout, rollout_action::RolloutAction,
  rollout_update::RolloutUpdate, rollouts::Rollouts, share_limits::ShareLimits, stage::Stage,
  tally::Tally, traffic::Traffic, traffic_table::TrafficTable,
};

mod canary;
mod canary_step;
mod evidence;
mod evidence_history;
mod fleet_view;
pub mod keys;
mod lane;
mod observer;
mod order;
mod pending_call;
mod record;
mod regression;
#[allow(clippy::module_inception)]
mod rollout;
mod rollout_action;
mod rollout_update;
mod rollouts;
mod share_limits;
mod stage;
mod stored;
mod tally;
mod traffic;
mod traffic_table;
