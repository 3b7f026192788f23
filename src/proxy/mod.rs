//! Proxies requests from callers to backend servers.
//!
//! A request passes through at most two daemons. The first receives it from the caller, routes it,
//! claims its idempotency key and selects a backend server. The daemon beside that backend server
//! queues the request until a slot is free and sends it on. Every request to a backend server goes
//! through the daemon beside it.

use super::*;

use crate::{
  configuration::{Handling, Policy, RateLimit},
  fleet::{BackendState, EndpointState, Process},
  node::Shared,
  organisations::{Admission, Grant, KeyFault, Member},
  requests::{
    Arrival, Attempt, AttemptOutcome, BackendMonitor, CallerClass, Claim, ClaimOutcome, ClaimState,
    ClaimStep, ClaimTicket, Completion, Condition, Demand, Dispatch, DispatchContext,
    DispatchEvent, DispatchStep, ExchangeId, LinkBudget, OpenAnswer, Quarantine, QuarantineStatus,
    RequestKey, RequestProfile, RequestRecord, RouteMatch, RunEnd, RunId, Sender, Ticket, TryId,
    TryOrder, Urgency, Whereabouts,
  },
  rollout::Lane,
  store::Revision,
  telemetry::Log,
  timer::Stopwatch,
  web::{AnyBody, Client, Incoming, KeptAnswer, Mark, Origin, ResponseBody},
};

pub use self::{carry::serve_caller, egress::serve_peer};

use self::{
  attempt_result::AttemptResult, body_in_turn::BodyInTurn, delivered_body::DeliveredBody,
  forwarded::Forwarded, guarded_body::GuardedBody, held_exchange::HeldExchange, held_run::HeldRun,
  held_slot::HeldSlot, held_turn::HeldTurn, incoming_request::IncomingRequest, lent_body::LentBody,
  membership::AdmittedRequest, observed_run::ObservedRun, refusal::Refusal,
  request_body::RequestBody, reserved_answer::ReservedAnswer, tries::Tries,
};

mod arrivals;
mod attempt_result;
mod body_in_turn;
mod carry;
mod delivered_body;
mod egress;
mod forward;
mod forwarded;
mod guarded_body;
pub mod headers;
mod held_claim;
mod held_exchange;
mod held_run;
mod held_slot;
mod held_turn;
mod incoming_request;
mod lent_body;
mod membership;
mod observed_run;
mod refusal;
mod request_body;
mod reserved_answer;
mod tries;
