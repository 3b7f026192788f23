//! The daemon: the one loop that wires decisions to sockets, clocks and the store.

use super::*;

use crate::{
  administration,
  configuration::{Configuration, Policy},
  distribution::{
    Action, Distribution, Distributor, Event, Follower, Identity, LinkId, Message, Moment,
    Question, Report, Timing,
  },
  fleet::{BackendRecord, BackendReport, BackendState, Endpoint, EndpointState, Peer},
  links::{Credentials, IncomingFrames, Outgoing},
  platform,
  proxy::{self, Dialect},
  requests::{
    AtWork, Balancer, Limiter, RecordBook, RequestRecord, RetryBudget, RetryLimits, Router,
    Splitter, Ticket,
  },
  settings::{Deployment, Settings},
  store::{HttpStore, Reply, Store, StoreRequest},
  telemetry::{Log, Metrics},
  web::{Listener, Server, ServerLimits},
};

pub use self::{
  clock::Clock,
  daemon::Daemon,
  distribution_loop::{DistributionLoop, Inquired},
  error::Error,
  listeners::Listeners,
  names::Names,
  shared::Shared,
  system_clock::SystemClock,
};

mod clock;
#[allow(clippy::module_inception)]
mod daemon;
mod distribution_loop;
mod error;
mod health;
mod listeners;
mod names;
mod open_link;
mod shared;
pub mod signals;
mod system_clock;

/// Result of running a daemon.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;
