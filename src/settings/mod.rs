//! The daemon's settings: a JSON file that is checked completely before the daemon starts.

use super::*;

use crate::{
  distribution::Profile,
  fleet::Peer,
  rollout::ShareLimits,
  store::VALUE_BYTES_MAX,
  telemetry::{LogFormat, LogLevel},
};

pub use self::{
  addresses::Addresses, backend_server::BackendServer, deployment::Deployment, error::Error,
  fault::Fault, fleet_key::FleetKey, process_limits::ProcessLimits, role::Role, settings::Settings,
  token::Token,
};

use self::node::Node;

mod addresses;
mod backend_server;
mod deployment;
mod error;
mod fault;
mod fleet_key;
mod node;
mod process_limits;
mod role;
#[allow(clippy::module_inception)]
mod settings;
mod token;

/// Looks up an environment variable.
pub type Environment = dyn Fn(&str) -> Option<String>;

/// Result of reading settings.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;
