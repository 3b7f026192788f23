//! Proxies requests from callers to backend servers.
//!
//! A request passes through at most two daemons. The first receives it from the caller, routes it,
//! claims its idempotency key and selects a backend server. The daemon beside that backend server
//! queues the request until a slot is free and sends it on. Every request to a backend server goes
//! through the daemon beside it.

use super::*;

use crate::{
  configuration::{Handling, Omission, Policy, RateLimit},
  fleet::{BackendState, EndpointState, Process},
  node::{BackendNotices, OutboundLink, Shared, SlotHolder},
  organisations::{Admission, CallerOrganisation, Grant, KeyFault},
  requests::{
    AnswerBudget, Attempt, AttemptOutcome, AttemptStatus, CallCredit, CallerClass, Claim,
    ClaimOutcome, ClaimState, ClaimStep, ClaimTicket, Completion, Condition, Demand, Dispatch,
    DispatchContext, DispatchEvent, DispatchStep, EntryDecision, EntryRequest, ExchangeId,
    LimitHint, LimiterDecision, LinkBudget, OpenAnswer, Quarantine, QuarantineStatus, RefusalKind,
    RefusedCaller, RequestKey, RequestProfile, RequestRecord, RetryWeight, ReturnPlan, ReturnTime,
    RoomDecision, RoomForecast, RouteKind, RouteMatch, RunCalls, RunEnd, RunEstimate, RunId,
    Sender, Ticket, TransferProgress, TryId, TryOrder, Urgency,
  },
  rollout::Lane,
  store::Revision,
  telemetry::Log,
  timer::Stopwatch,
  web::{
    AnyBody, Client, ClientLocation, CorrelationHeader, Incoming, ResponseBody, StoredResponse,
  },
};

pub use self::{egress::serve_peer, ingress::serve_caller};

use self::{
  answer_reservation::AnswerReservation, attempt_result::AttemptResult,
  exchange_guard::ExchangeGuard, forwarded_request::ForwardedRequest, held_answer::HeldAnswer,
  incoming_request::IncomingRequest, observed_run::ObservedRun, on_end_body::OnEndBody,
  organisation_admission::AdmittedRequest, outbound_turns::OutboundTurns, paced_body::PacedBody,
  peer_notices::PeerNotices, refusal::Refusal, request_body::RequestBody,
  returnable_body::ReturnableBody, run_guard::RunGuard, run_work::RunWork, slot_body::SlotBody,
  slot_guard::SlotGuard, slot_transfer::SlotTransfer, timely_body::TimelyBody,
  tracked_body::TrackedBody, transfer_body::TransferBody, transfer_slot::TransferSlot,
  tries::Tries,
};

mod answer_reservation;
mod arrivals;
mod attempt_result;
mod claimed_run;
mod early_return;
mod egress;
mod entry;
mod exchange_guard;
mod forward;
mod forwarded_request;
pub mod headers;
mod held_answer;
mod incoming_request;
mod ingress;
mod observed_run;
mod on_end_body;
mod organisation_admission;
mod outbound_turns;
mod paced_body;
mod peer_notices;
mod planned_return;
mod refusal;
mod request_body;
mod returnable_body;
mod run_guard;
mod run_work;
mod slot_body;
mod slot_guard;
mod slot_transfer;
mod timely_body;
mod tracked_body;
mod transfer_body;
mod transfer_slot;
mod tries;
