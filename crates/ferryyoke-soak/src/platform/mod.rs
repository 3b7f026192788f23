//! Fakes of the users' platform: its store, its backend servers, and the format of its operators'
//! configuration.

use super::*;

pub use self::{
  backend_server::{
    ANSWER_BYTES, ANSWER_CHUNK_BYTES, BackendServer, CALLS, CRASH_MS, KEY, ORGANISATION, WORK_MS,
  },
  configuration::{BULK_PATH, added_path, configuration, key, shared_configuration},
  foreign::{foreign_items, foreign_reports},
  store::{Fields, StoreServer},
  told::Told,
  trouble::Trouble,
};

mod backend_server;
mod configuration;
mod foreign;
mod store;
mod told;
mod trouble;

/// The store's key of the operators' configuration.
pub const CONFIGURATION: &str = "op/config";

/// Returns the store's key of a box's entry.
pub fn entry_key(index: usize) -> String {
  format!("mesh/boxes/box-{index}")
}

/// The header with the id of a caller's request.
pub const REQUEST_ID: &str = "x-request-id";
/// The header with the caller's timeout in milliseconds.
pub const TIME_LEFT_MS: &str = "x-deadline-ms";
/// The path of a daemon's readiness check.
pub const READINESS_PATH: &str = "/ferryyoke/ready";
