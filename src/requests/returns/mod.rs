//! Decides when refused callers should come back, and which of them come too early.

use super::*;

pub use self::{early_returns::EarlyReturns, refusal_kind::RefusalKind, return_time::ReturnTime};

mod early_returns;
mod refusal_kind;
mod return_time;
