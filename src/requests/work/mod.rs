//! Learns how long runs of requests take: of each route at the usual backend server of its service,
//! and how much longer at one of them now.
//!
//! The box that takes callers in learns the work of each route ([`RunTimes`]). The daemon beside a
//! backend server learns how fast that server is ([`SpeedMonitor`]), and tells the others.

use super::*;

pub use self::{
  log_average::LogAverage, route_kind::RouteKind, run_estimate::RunEstimate, run_times::RunTimes,
  slowdown::Slowdown, speed_monitor::SpeedMonitor,
};

mod log_average;
mod route_kind;
mod run_estimate;
mod run_times;
mod slowdown;
mod speed_monitor;
