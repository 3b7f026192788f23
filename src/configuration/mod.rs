//! The configuration: routes, services, organisations, backend server policies and drains,
//! versioned as a whole.
//!
//! Nothing here does I/O. A [`Change`] turns one [`Configuration`] into the next. The [`Head`] in
//! the store records the accepted changes in order.

use super::*;

use crate::rollout::Order;

pub use self::{
  accepted_change::AcceptedChange, caller_limits::CallerLimits, change::Change,
  change_summary::ChangeSummary, cold_start::ColdStart, configuration::Configuration, drain::Drain,
  error::Error, handling::Handling, head::Head, object::Object, object_name::ObjectName,
  omission::Omission, operation::Operation, organisation::Organisation, parse_error::ParseError,
  patch::Patch, policy::Policy, rate_limit::RateLimit, revised::Revised, route::Route,
  service::Service, source::Source, weighted_service::WeightedService,
};

mod accepted_change;
mod caller_limits;
mod change;
mod change_summary;
mod cold_start;
#[allow(clippy::module_inception)]
mod configuration;
mod drain;
mod error;
mod handling;
mod head;
mod object;
mod object_name;
mod omission;
mod operation;
mod organisation;
mod parse_error;
mod patch;
mod policy;
mod rate_limit;
mod revised;
mod route;
mod service;
mod source;
mod weighted_service;

/// Result of an operation on the configuration.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;

/// Largest encoded configuration in bytes that may be written: the store holds values of up to one
/// megabyte.
pub const ENCODED_BYTES_MAX: usize = 1_000_000;
