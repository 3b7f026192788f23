//! Decides when refused callers should come back, and which of them come too early.

use super::*;

use self::{
  return_schedule::ReturnSchedule,
  work_trend::{WorkForecast, WorkTrend},
};

pub use self::{
  early_classes::EarlyClasses, early_returns::EarlyReturns, refusal_kind::RefusalKind,
  refused_caller::RefusedCaller, return_conduct::ReturnConduct, return_plan::ReturnPlan,
  return_schedules::ReturnSchedules, return_time::ReturnTime,
};

mod early_classes;
mod early_returns;
mod refusal_kind;
mod refused_caller;
mod return_conduct;
mod return_plan;
mod return_schedule;
mod return_schedules;
mod return_time;
mod work_trend;
