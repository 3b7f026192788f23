//! Decides about requests: routing, load balancing, limits, retries, and claims on idempotency
//! keys.
//!
//! The code does no I/O and reads no clock. `crate::proxy` acts on the decisions.

use super::*;

use crate::{
  configuration::{Configuration, Handling, Omission, Route, WeightedService},
  fleet::{Endpoint, EndpointState, RunFinding, RunOutcome},
  rollout::{Lane, Traffic},
  store::{Entry, Key, Refusal, Reply, Revision, StoreRequest},
};

pub use self::{
  attempt::Attempt,
  attempt_outcome::AttemptOutcome,
  backend_monitor::BackendMonitor,
  balancer::{Balancer, Choice},
  caller_class::CallerClass,
  caller_timeouts::CallerTimeouts,
  calls::{CallCredit, CallReserve, CallRow, CallTrees, RetryWeight, RunCalls, ServiceCalls},
  claim::Claim,
  claim_outcome::ClaimOutcome,
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
  dispatch_context::DispatchContext,
  dispatch_event::DispatchEvent,
  dispatch_step::{DispatchStep, TryOrder},
  heard_limits::HeardLimits,
  limit_hint::LimitHint,
  limiter::Limiter,
  limiter_decision::LimiterDecision,
  links::{
    AnswerBudget, AnswerSizes, BodyQueue, LinkBudget, LinkQueue, OutboundSchedule, OutboundTurn,
  },
  named_limit::NamedLimit,
  open_exchanges::{ExchangeId, OpenAnswer, OpenExchange, OpenExchanges, Sender},
  pacer::Pacer,
  quarantine::{Quarantine, QuarantineChange},
  quarantine_status::QuarantineStatus,
  received_attempts::{AttemptStatus, ReceivedAttempts},
  request_history::RequestHistory,
  request_key::RequestKey,
  request_profile::RequestProfile,
  request_record::RequestRecord,
  retry_budget::{RetryBudget, RetryLimits},
  returns::{
    EarlyClasses, EarlyReturns, RefusalKind, RefusedCaller, ReturnConduct, ReturnPlan,
    ReturnSchedules, ReturnTime,
  },
  room::{
    EntryDecision, EntryRequest, LevelChange, RoomDecision, RoomForecast, RoomRefusal, RoomRow,
    Rooms,
  },
  route_match::RouteMatch,
  router::Router,
  run_end::RunEnd,
  running_requests::RunningRequests,
  selection_criteria::SelectionCriteria,
  slot_load::SlotLoad,
  splitter::Splitter,
  stop_limit::StopLimit,
  suspect::Suspect,
  ticket::Ticket,
  transfer_progress::TransferProgress,
  try_id::TryId,
  urgency::Urgency,
  verdict::Verdict,
  work::{LogAverage, RouteKind, RunEstimate, RunTimes, Slowdown, SpeedMonitor},
};

mod attempt;
mod attempt_outcome;
mod backend_monitor;
mod balancer;
mod caller_class;
mod caller_timeouts;
mod calls;
mod claim;
mod claim_outcome;
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
mod dispatch_context;
mod dispatch_event;
mod dispatch_step;
mod heard_limits;
mod limit_hint;
mod limiter;
mod limiter_decision;
mod links;
mod named_limit;
mod open_exchanges;
mod pacer;
mod quarantine;
mod quarantine_status;
mod received_attempts;
mod request_history;
mod request_key;
mod request_profile;
mod request_record;
mod retry_budget;
mod returns;
mod room;
mod route_match;
mod router;
mod run_end;
mod running_requests;
mod selection_criteria;
mod slot_load;
mod splitter;
mod stop_limit;
mod suspect;
mod ticket;
mod transfer_progress;
mod try_id;
mod urgency;
mod verdict;
mod work;
