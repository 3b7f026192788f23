//! Stand-ins that speak as the users' platform does: its store, its backend servers, and the form of
//! its operators' configuration.

use super::*;

pub use self::{
  backend_server::{ANSWER_BYTES, BackendServer, CRASH_MS, KEY, ORGANISATION, WORK_MS},
  configuration::{added_path, configuration},
  foreign::{foreign_items, foreign_reports},
  store::{Fields, StoreServer},
};

mod backend_server;
mod configuration;
mod foreign;
mod store;

/// Where the store holds the operators' configuration.
pub const CONFIGURATION: &str = "op/config";

/// Where the store holds the entry of a box.
pub fn entry_key(index: usize) -> String {
  format!("mesh/boxes/box-{index}")
}

/// Names a caller's request.
pub const REQUEST_ID: &str = "x-request-id";
/// Milliseconds that a caller waits.
pub const TIME_LEFT_MS: &str = "x-deadline-ms";
/// The question whether a daemon takes callers.
pub const READINESS_PATH: &str = "/ferryyoke/ready";
