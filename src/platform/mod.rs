//! The adapter to the users' platform. It translates the platform's store, its operators'
//! configuration, its backend servers' reports and its header names into this crate's types.
//!
//! Only this folder and `deploy/` may use the platform's names. The adapter makes no decisions.

use super::*;

use crate::{
  configuration::{
    CallerLimits, ColdStart, Configuration, Handling, ObjectName, Omission, Organisation,
    ParseError, Patch, Policy, RateLimit, Revised, Route, Service, Source, WeightedService,
  },
  fleet::{BackendReport, Process, ReportOutcome},
  node::{HeaderNames, Node},
  rollout::{self, Order, Record, Stage},
  store::{
    self, AnswerWaiter, CallKind, Entry, Era, Event, Key, LeaseId, LocalFuture, Refusal, Reply,
    Revision, Store, StoreRequest, Value,
  },
  web::{self, AnyBody, Incoming},
};

use self::{fields::Fields, item::Item};

pub use self::{
  control::{serve_control, serve_readiness},
  header_names::header_names,
  operator_source::OperatorSource,
  store_client::StoreClient,
};

mod control;
mod fields;
mod header_names;
mod item;
mod operator_source;
mod rollout_status;
mod store_bodies;
mod store_client;
mod translation;

/// Deserializes a duration in the platform's format, such as `1500ms`, into milliseconds.
fn duration_ms<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
  let text = String::deserialize(deserializer)?;
  let duration: DurationMs = text.parse().map_err(serde::de::Error::custom)?;
  Ok(duration.0)
}
