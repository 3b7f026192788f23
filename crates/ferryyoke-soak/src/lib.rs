//! A randomized soak test: runs real daemons on loopback, injects faults from outside, and checks
//! what callers and backend servers observe against ferryyoke's guarantees.
//!
//! A seed always yields the same plan of faults. A run ends every process that it started, by its id.

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
  caller::{Asked, Attempt, Kind, Outcome, Refused, expected_answer},
  commands::execute,
  foreign::Foreign,
  plan::{Fault, Plan, Step},
  record::{Probe, Record, Run, Violation},
  soak_box::SoakBox,
};

use self::{
  crashing_run::CrashingRun, fault_proxy::FaultProxy, fault_spans::FaultSpans,
  stopped_clocks::StoppedClocks,
};

mod caller;
mod commands;
mod crashing_run;
mod fault_proxy;
mod fault_spans;
mod foreign;
mod inject;
mod load;
mod plan;
pub mod platform;
mod record;
mod run;
mod soak_box;
mod stopped_clocks;
mod stops;

/// Milliseconds since the start of the run.
type Ms = u64;
