//! How long runs of requests take: at the backend servers of a service in general, and at one of
//! them now.

use super::*;

pub use self::{run_estimate::RunEstimate, slowdown::Slowdown};

mod run_estimate;
mod slowdown;
