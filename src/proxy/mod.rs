//! Carries requests: from callers, to the daemon beside a backend server, to the backend server.
//!
//! A request passes two daemons at most. The first takes it from the caller, routes it, claims its
//! key, and chooses a backend server; the daemon beside that one holds it until there is a slot and
//! hands it over. Every request to a backend server goes through the daemon beside it.

use super::*;

use crate::{
  configuration::{Handling, Policy, RateLimit},
  fleet::{BackendState, EndpointState, Process},
  node::Shared,
  organisations::{Admission, CallerOrganisation, Grant, KeyFault},
  requests::{
    Attempt, AttemptOutcome, AttemptStatus, BackendMonitor, CallerClass, Claim, ClaimOutcome,
    ClaimState, ClaimStep, ClaimTicket, Completion, Condition, Demand, Dispatch, DispatchContext,
    DispatchEvent, DispatchStep, ExchangeId, LimiterDecision, LinkBudget, OpenAnswer, Quarantine,
    QuarantineStatus, RequestKey, RequestProfile, RequestRecord, RouteMatch, RunEnd, RunId, Sender,
    Ticket, TryId, TryOrder, Urgency,
  },
  rollout::Lane,
  store::Revision,
  telemetry::Log,
  timer::Stopwatch,
  web::{AnyBody, Client, Incoming, StoredResponse, CorrelationHeader, ClientLocation, ResponseBody},
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
