//! Load generator and benchmarks for ferryyoke. Not shipped.
//!
//! [`Fleet`] runs real daemon processes on loopback, together with simulated platform services (the
//! store and the backend servers). Each command benchmarks such a fleet, or calls the decision code
//! directly, and prints its results as JSON lines.

use {
  bytes::Bytes,
  clap::{Arg, ArgAction, ArgMatches, Command},
  ferryyoke::{
    administration::{Answer, AnswerOutcome, StatementRequest},
    commands::{block_on, query},
    fake::{BackendFaults, Journal, StoreFaults, StoreServer},
    proxy::headers,
    unix_ms,
    values::{Digest, Version},
    web,
  },
  http::{Request, StatusCode},
  serde::Serialize,
  socket2::{Domain, Socket, Type},
  std::{
    collections::BTreeMap,
    error::Error as StdError,
    ffi::OsString,
    fmt::{self, Display, Formatter},
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Stdio},
    rc::Rc,
    time::{Duration, Instant},
  },
};

pub use self::{
  commands::execute,
  error::Error,
  fleet::Fleet,
  fleet_box::FleetBox,
  fleet_builder::FleetBuilder,
  held_port::HeldPort,
  linear_fit::LinearFit,
  load::{Connection, Generator, LoadResult},
  process::Process,
  sample::Sample,
  scrape::Scrape,
  usage::{Rates, Usage},
};

mod commands;
mod error;
mod fleet;
mod fleet_box;
mod fleet_builder;
mod held_port;
mod linear_fit;
mod load;
mod process;
mod sample;
mod scrape;
mod usage;

/// The result of a benchmark step.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;

/// The first argument that makes this binary behave as `ferryyoke`, so that the daemons it starts
/// run the code it was built with.
pub const AS_FERRYYOKE: &str = "as-ferryyoke";
