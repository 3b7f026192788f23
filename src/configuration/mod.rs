//! The configuration: routes, services, organisations, backend server policies and drains,
//! versioned as a whole.
//!
//! Nothing here does I/O. A [`Change`] turns one [`Configuration`] into the next. The [`Head`] in
//! the store records the accepted changes in order.

use super::*;

use crate::rollout::Order;

pub use self::{
  accepted_change::AcceptedChange, caller_limits::CallerLimits, change::Change,
  cold_start::ColdStart, configuration::Configuration, drain::Drain, error::Error,
  handling::Handling, head::Head, object::Object, object_name::ObjectName, operation::Operation,
  organisation::Organisation, patch::Patch, policy::Policy, rate_limit::RateLimit,
  revised::Revised, route::Route, service::Service, source::Source, summary::Summary,
  unreadable::Unreadable, weighted_service::WeightedService,
};

mod accepted_change;
mod caller_limits;
mod change;
mod cold_start;
#[allow(clippy::module_inception)]
mod configuration;
mod drain;
mod error;
mod handling;
mod head;
mod object;
mod object_name;
mod operation;
mod organisation;
mod patch;
mod policy;
mod rate_limit;
mod revised;
mod route;
mod service;
mod source;
mod summary;
mod unreadable;
mod weighted_service;

/// Result of an operation on the configuration.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;

/// Largest encoded configuration in bytes that may be written: the store holds values of up to one
/// megabyte.
pub const ENCODED_BYTES_MAX: usize = 1_000_000;
