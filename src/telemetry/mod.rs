//! Logs and metrics.

use super::*;

pub use self::{
  buffered_output::BufferedOutput, configuration_metrics::ConfigurationMetrics,
  connection_metrics::ConnectionMetrics, log::Log, log_format::LogFormat, log_level::LogLevel,
  metrics::Metrics, outbound_metrics::OutboundMetrics, quota::Quota,
};

mod buffered_output;
mod configuration_metrics;
mod connection_metrics;
mod labels;
mod log;
mod log_format;
mod log_level;
mod metrics;
mod outbound_metrics;
mod quota;
