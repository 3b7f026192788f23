//! The daemon: connects the state machines to sockets, clocks and the store on one event loop.

use super::*;

use crate::{
  administration,
  distribution::{Distribution, Distributor, Event, Follower, Identity, Timing},
  fleet::{BackendState, Endpoint, EndpointState, Peer},
  node::{BackendNotices, Clock, DistributionLoop, HeaderNames, Node, Shared},
  platform, proxy,
  settings::{Deployment, Settings},
  store::{HttpStore, Store},
  telemetry::Log,
  web::{Listener, PeerKind, Server, ServerOptions},
};

pub use self::{daemon::Daemon, error::Error, listeners::Listeners};

#[allow(clippy::module_inception)]
mod daemon;
mod error;
mod health;
mod listeners;
pub mod signals;

/// Result of running a daemon.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;
