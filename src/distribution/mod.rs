//! Distribution of accepted configurations and endpoint updates to every daemon.
//!
//! [`Distributor`] is a state machine that takes a time and an [`Event`] and returns [`Action`]s.
//! [`Acceptance`] is the state machine that turns an operator's change into a new version in the
//! store. `docs/design/distribution.md` compares the alternatives.

use super::*;

use crate::{
  configuration::{
    AcceptedChange, Change, ChangeSummary, Configuration, Head, ParseError, Patch, Source,
  },
  fleet::{Endpoint, EndpointState, EndpointTable, Peer, RunFinding, RunOutcome},
  requests::RequestRecord,
  rollout::{self, Evidence, FleetView, Rollout, RolloutAction, Rollouts, ShareLimits, Traffic},
  store::{Entry, Era, Key, LeaseId, Refusal, Reply, Revision, StoreRequest, Value},
};

pub use self::{
  acceptance::Acceptance,
  acceptance_step::AcceptanceStep,
  action::Action,
  archive::Archive,
  catalog::Catalog,
  distribution::Distribution,
  distributor::{Distributor, Status},
  election::Election,
  error::Error,
  evacuation::Evacuation,
  evacuations::Evacuations,
  event::Event,
  follower::Follower,
  heartbeat::Heartbeat,
  identity::Identity,
  inquiries::Inquiries,
  inquiry_id::InquiryId,
  link::Link,
  link_id::LinkId,
  link_role::LinkRole,
  message::Message,
  moment::Moment,
  outcome::{Outcome, RefusalReason},
  packed_update::PackedUpdate,
  profile::Profile,
  provenance::Provenance,
  question::Question,
  registration::{Registration, RegistrationResult},
  relay_slot::RelaySlot,
  relays::Relays,
  report::Report,
  subscribe::Subscribe,
  timing::Timing,
  unreadable_entry::UnreadableEntry,
  update::Update,
  upstream::Upstream,
  watcher::Watcher,
};

mod acceptance;
mod acceptance_step;
mod action;
mod archive;
mod catalog;
#[allow(clippy::module_inception)]
mod distribution;
mod distributor;
mod election;
mod error;
mod evacuation;
mod evacuations;
mod event;
mod follower;
mod heartbeat;
mod identity;
mod inquiries;
mod inquiry_id;
pub mod keys;
mod link;
mod link_id;
mod link_role;
mod message;
mod moment;
mod outcome;
mod packed_update;
mod profile;
mod provenance;
mod question;
mod registration;
mod relay_slot;
mod relays;
mod report;
mod subscribe;
mod timing;
mod unreadable_entry;
mod update;
mod upstream;
mod watcher;
mod watchers;

/// Result of applying an update.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;
