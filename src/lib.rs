//! ferryyoke: configuration distribution for a service mesh.
//!
//! One daemon runs beside each backend server. It forwards requests, holds the whole
//! configuration, and sends configuration to other daemons. Decisions are made by pure state
//! machines that take a time, an event and a random seed and return actions; sockets, clocks and
//! the platform's store are behind traits. `docs/ARCHITECTURE.md` is the guide to the source.

use {
  crate::values::{
    BoxId, ChangeId, DataHall, Digest, DurationMs, Fingerprint, GivenName, Incarnation, InstanceId,
    KeyDigest, Operator, OrganisationName, PolicyName, Rate, Region, RequestId, RouteName,
    ServiceName, SoftwareVersion, StartTime, Team, Time, TryKey, Version, text,
  },
  bytes::{Buf, Bytes, BytesMut},
  clap::{Arg, ArgAction, ArgMatches, Command},
  futures_util::{FutureExt, SinkExt, StreamExt},
  http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode},
  http_body::Body,
  http_body_util::{BodyExt, Full},
  monoio::net::{TcpListener, TcpStream},
  rand::{Rng, SeedableRng, seq::IndexedRandom},
  rand_chacha::ChaCha8Rng,
  serde::{Deserialize, Serialize, de::DeserializeOwned},
  slog::{Drain, Level, Logger, debug, info, o, warn},
  std::{
    borrow::Cow,
    cell::{Cell, RefCell},
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, VecDeque},
    error::Error as StdError,
    fmt::{self, Display, Formatter},
    fs,
    future::Future,
    io::{self, Read},
    net::SocketAddr,
    path::{Path, PathBuf},
    pin::Pin,
    rc::Rc,
    str::FromStr,
    sync::Arc,
    task::{Context, Poll},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
  },
};

pub mod administration;
pub mod commands;
pub mod configuration;
pub mod daemon;
pub mod dev;
pub mod distribution;
pub mod fake;
pub mod fleet;
pub mod language;
pub mod links;
pub mod net;
pub mod node;
pub mod organisations;
pub mod platform;
pub mod proxy;
pub mod requests;
pub mod rollout;
pub mod settings;
pub mod store;
pub mod telemetry;
pub mod timer;
pub mod values;
pub mod web;

/// Returns plain data as JSON. Equal data gives equal text.
fn to_json(value: &impl Serialize) -> String {
  serde_json::to_string(value).expect("plain data has a JSON form")
}

/// Returns the milliseconds since 1970 by the machine's clock.
pub fn unix_ms() -> u64 {
  let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
  u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
