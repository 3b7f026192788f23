//! The load and experiment tool of ferryyoke. It is not shipped.
//!
//! [`Fleet`] starts a fleet of real daemon processes on loopback, with the stand-ins of the platform
//! beside it. The commands measure such fleets, or drive the decisions directly, and print JSON
//! lines.

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
  fit::Fit,
  fleet::Fleet,
  fleet_box::FleetBox,
  fleet_builder::FleetBuilder,
  held_port::HeldPort,
  load::{Connection, Generator, LoadResult},
  process::Process,
  sample::Sample,
  scrape::Scrape,
  usage::{Rates, Usage},
};

mod commands;
mod error;
mod fit;
mod fleet;
mod fleet_box;
mod fleet_builder;
mod held_port;
mod load;
mod process;
mod sample;
mod scrape;
mod usage;

/// Result of a measurement.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;

/// The word that makes this binary act as `ferryyoke`, so that it can start daemons of the very
/// code it was built with.
pub const AS_FERRYYOKE: &str = "as-ferryyoke";
