//! The header names that others use, and the two of the product's own that they stand beside.

use super::*;

/// The id of a request.
pub const REQUEST_ID: &str = "x-ferryyoke-request-id";
/// The organisation of the caller.
pub const ORGANISATION: &str = "x-ferryyoke-organisation";
/// Milliseconds left until the answer is due.
pub const TIME_LEFT_MS: &str = "x-ferryyoke-time-left-ms";

/// The header names that callers and backend servers use beside the product's own.
#[derive(Clone, Debug)]
pub struct Dialect {
  /// Tells a backend server which service the request comes from.
  pub caller_service: Option<HeaderName>,
  /// Milliseconds for which the process that answers stays cold.
  pub cold_ms: Option<HeaderName>,
  /// Names the one process of a backend server that may run the request.
  pub expected_instance: Option<HeaderName>,
  /// Names the process that answers.
  pub instance: Option<HeaderName>,
  /// Marks an answer of a backend server that did not run the request.
  pub not_run: Option<HeaderName>,
  /// Tells a backend server which organisation the caller belongs to.
  pub organisation: Option<HeaderName>,
  /// Tells how much a backend server has to do.
  pub reported_load: Option<HeaderName>,
  /// Names the request.
  pub request_id: HeaderName,
  /// Whether callers understand fractions of seconds in `Retry-After`.
  pub retry_after_fractions: bool,
  /// Milliseconds that are left for the request.
  pub time_left_ms: HeaderName,
}

impl Default for Dialect {
  /// The product's own names.
  fn default() -> Self {
    Self {
      caller_service: None,
      cold_ms: None,
      expected_instance: None,
      instance: None,
      not_run: None,
      organisation: Some(HeaderName::from_static(ORGANISATION)),
      reported_load: None,
      request_id: HeaderName::from_static(REQUEST_ID),
      retry_after_fractions: false,
      time_left_ms: HeaderName::from_static(TIME_LEFT_MS),
    }
  }
}
