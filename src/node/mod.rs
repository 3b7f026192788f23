//! The state that the parts of a daemon share: settings, clock, log, store and state machines.
//!
//! The modules `proxy`, `administration` and `platform` use it; `daemon` connects them to sockets.

use super::*;

use crate::{
  configuration::{ColdStart, Configuration, Omission, Policy, RateLimit},
  distribution::{
    Action, Distribution, Distributor, Event, LinkId, Message, Moment, Question, Report,
    UnreadableEntry,
  },
  fleet::{
    BackendRecord, BackendReport, BackendState, Endpoint, EndpointState, Peer, Process,
    ReportOutcome, RunOutcome, ServiceEndpoints,
  },
  links::{self, Credentials, IncomingFrames, Outgoing},
  organisations::{Admission, KeyRing, RateLimits},
  requests::{
    AnswerBudget, AnswerSizes, BackendMonitor, Balancer, BodyQueue, CallTrees, CallerTimeouts,
    ColdStartLimiter, Condition, CrashDetector, EarlyClasses, EarlyReturns, HeardLimits, LimitHint,
    Limiter, LinkBudget, NamedLimit, OpenExchanges, OutboundSchedule, OutboundTurn, Quarantine,
    QuarantineChange, ReceivedAttempts, RequestHistory, RequestRecord, RetryBudget, RetryLimits,
    ReturnSchedules, Rooms, RouteKind, Router, RunEnd, RunEstimate, RunId, RunTimes,
    RunningRequests, SlotLoad, Slowdown, SpeedMonitor, Splitter, StopLimit, Ticket,
  },
  rollout::{Evidence, Observer, Traffic, TrafficTable},
  settings::{ProcessLimits, Settings},
  store::{self, Era, Reply, Store, StoreRequest},
  telemetry::{Log, Metrics},
  web::{self, ConnectionLimits, Listener, OpenConnection, PeerKind, Phase, ServerLimits},
};

pub use self::{
  backend_notices::BackendNotices,
  clock::Clock,
  distribution_loop::{DistributionLoop, InquiryResult},
  header_names::HeaderNames,
  limit_notice::LimitNotice,
  names::Names,
  node::Node,
  outbound_link::OutboundLink,
  shared::Shared,
  slot_transfers::{SlotHolder, SlotTransfers},
  system_clock::SystemClock,
};

mod backend_notices;
mod backend_side;
mod clock;
mod connection_side;
mod distribution_loop;
mod evacuation_side;
pub mod header_names;
mod limit_notice;
mod names;
#[allow(clippy::module_inception)]
mod node;
mod notice_side;
mod open_link;
mod organisation_side;
mod outbound_link;
mod rollout_side;
mod shared;
mod slot_transfers;
mod system_clock;
