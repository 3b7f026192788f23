//! The calls that backend servers make while they run a request: which ones a route needs, whether
//! they are likely to be served, and how many slots are left free for them.

use super::*;

pub use self::{
  call_credit::CallCredit, call_reserve::CallReserve, call_row::CallRow, call_trees::CallTrees,
  retry_weight::RetryWeight, run_calls::RunCalls, service_calls::ServiceCalls,
};

mod call_credit;
mod call_reserve;
mod call_row;
mod call_trees;
mod retry_weight;
mod run_calls;
mod service_calls;
