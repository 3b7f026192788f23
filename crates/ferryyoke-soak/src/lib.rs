//! A randomized soak: real daemons on loopback, faults from outside them, and what callers and
//! backend servers saw checked against what ferryyoke promises.
//!
//! A seed gives the same plan of faults each time. Everything that a run starts, it ends by its id.

use {
  bytes::Bytes,
  clap::{Arg, ArgMatches, Command},
  ferryyoke::{
    fake::Keyspace,
    store::{Entry, Event, Key, LeaseId, Refusal, Reply, Revision, StoreRequest},
    unix_ms,
    values::{Digest, DurationMs, Time},
    web::{self, AnyBody, Incoming},
  },
  ferryyoke_bench::{AS_FERRYYOKE, Error, HeldPort, Process, Result},
  futures_util::future::{Either, select},
  http::{Method, Request, Response, StatusCode},
  monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt, Splitable},
    net::TcpStream,
  },
  rand::{Rng, SeedableRng, seq::IndexedRandom},
  rand_chacha::ChaCha8Rng,
  serde::{Deserialize, Serialize},
  std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, VecDeque},
    ffi::OsString,
    fmt::{self, Display, Formatter},
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    time::{Duration, Instant},
  },
};

pub use self::{
  caller::{Attempt, Kind, Outcome},
  commands::execute,
  foreign::Foreign,
  plan::{Fault, Plan, Step},
  record::{Probe, Record, Run, Violation},
  soak_box::SoakBox,
};

use self::{
  ending::Ending, fault_proxy::FaultProxy, stopped_clocks::StoppedClocks, trouble::Trouble,
};

mod caller;
mod commands;
mod ending;
mod fault_proxy;
mod foreign;
mod harm;
mod plan;
pub mod platform;
mod record;
mod run;
mod soak_box;
mod stopped_clocks;
mod stops;
mod trouble;

/// Milliseconds on a clock that starts with the run.
type Ms = u64;
