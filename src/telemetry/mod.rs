//! Logs and metrics.

use super::*;

pub use self::{
  log::Log, log_format::LogFormat, log_level::LogLevel, metrics::Metrics, outlet::Outlet,
  quota::Quota,
};

mod labels;
mod log;
mod log_format;
mod log_level;
mod metrics;
mod outlet;
mod quota;
