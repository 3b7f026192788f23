//! Decides about requests: routing, load balancing, limits, retries, and claims on idempotency
//! keys.
//!
//! The code does no I/O and reads no clock. `crate::proxy` acts on the decisions.

use super::*;

use crate::{
  configuration::{Configuration, Handling, Route, WeightedService},
  fleet::{Endpoint, EndpointState, RunFinding, RunOutcome},
  rollout::{Lane, Traffic},
  store::{Entry, Key, Refusal, Reply, Revision, StoreRequest},
};

pub use self::{
  answer_budget::AnswerBudget,
  answer_sizes::AnswerSizes,
  attempt::Attempt,
  attempt_outcome::AttemptOutcome,
  backend_monitor::BackendMonitor,
  balancer::{Balancer, Choice},
  body_queue::BodyQueue,
  caller_class::CallerClass,
  caller_timeouts::CallerTimeouts,
  claim::Claim,
  claim_record::ClaimRecord,
  claim_state::ClaimState,
  claim_step::ClaimStep,
  claim_ticket::ClaimTicket,
  cold_start_limiter::ColdStartLimiter,
  completion::Completion,
  condition::Condition,
  crash_detector::{CrashDetector, RunId},
  demand::Demand,
  dispatch::Dispatch,
  dispatch_event::DispatchEvent,
  dispatch_step::{DispatchStep, TryOrder},
  limiter::Limiter,
  limiter_decision::LimiterDecision,
  link_budget::LinkBudget,
  link_queue::LinkQueue,
  open_exchanges::{ExchangeId, OpenAnswer, OpenExchange, OpenExchanges, Sender},
  quarantine::{Quarantine, QuarantineChange, Suspect},
  received_attempts::{ReceivedAttempts, AttemptStatus},
  record_book::RecordBook,
  request_key::RequestKey,
  request_record::RequestRecord,
  retry_budget::{RetryBudget, RetryLimits},
  route_match::RouteMatch,
  router::Router,
  run_end::RunEnd,
  running_requests::RunningRequests,
  settlement::Settlement,
  splitter::Splitter,
  stakes::Stakes,
  standing::Standing,
  stop_limit::StopLimit,
  surroundings::Surroundings,
  terms::Terms,
  ticket::Ticket,
  try_id::TryId,
  urgency::Urgency,
  verdict::Verdict,
};

mod answer_budget;
mod answer_sizes;
mod attempt;
mod attempt_outcome;
mod backend_monitor;
mod balancer;
mod body_queue;
mod caller_class;
mod caller_timeouts;
mod claim;
mod claim_record;
mod claim_state;
mod claim_step;
mod claim_ticket;
mod cold_start_limiter;
mod completion;
mod condition;
mod crash_detector;
mod demand;
mod dispatch;
mod dispatch_event;
mod dispatch_step;
mod limiter;
mod limiter_decision;
mod link_budget;
mod link_queue;
mod open_exchanges;
mod quarantine;
mod received_attempts;
mod record_book;
mod request_key;
mod request_record;
mod retry_budget;
mod route_match;
mod router;
mod run_end;
mod running_requests;
mod settlement;
mod splitter;
mod stakes;
mod standing;
mod stop_limit;
mod surroundings;
mod terms;
mod ticket;
mod try_id;
mod urgency;
mod verdict;
