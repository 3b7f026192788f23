//! Decides when refused callers should come back, and which of them come too early.

use super::*;

pub use self::{early_returns::EarlyReturns, return_time::ReturnTime};

mod early_returns;
mod return_time;
