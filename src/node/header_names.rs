//! Names of HTTP headers that callers and backend servers use.

use super::*;

/// The id of a request.
pub const REQUEST_ID: &str = "x-ferryyoke-request-id";
/// The organisation of the caller.
pub const ORGANISATION: &str = "x-ferryyoke-organisation";
/// In answers: the requests a second that the backend server takes.
pub const RATE_LIMIT: &str = "x-ferryyoke-rate-limit";
/// In answers: the running requests, waiting requests, slots and the slowdown in percent.
pub const LOAD: &str = "x-ferryyoke-load";
/// Milliseconds left until the deadline of the answer.
pub const TIME_LEFT_MS: &str = "x-ferryyoke-time-left-ms";

/// The configurable header names of callers and backend servers. `None` leaves a header out.
#[derive(Clone, Debug)]
pub struct HeaderNames {
  /// In requests to a backend server: the calling service.
  pub caller_service: Option<HeaderName>,
  /// In answers: milliseconds for which the process stays cold.
  pub cold_ms: Option<HeaderName>,
  /// In requests to a backend server: the only process that may run the request.
  pub expected_instance: Option<HeaderName>,
  /// In answers: the process that answers.
  pub instance: Option<HeaderName>,
  /// In answers: `1` if the process leaves.
  pub leaving: Option<HeaderName>,
  /// In answers: the backend server did not run the request.
  pub not_run: Option<HeaderName>,
  /// In requests to a backend server: the caller's organisation.
  pub organisation: Option<HeaderName>,
  /// In answers: the requests a second that the backend server takes, as long as it names a limit.
  pub rate_limit: Option<HeaderName>,
  /// In answers: the running requests, waiting requests and slots, and how long work takes at this
  /// moment in percent of the usual time.
  pub reported_load: Option<HeaderName>,
  /// The id of the request.
  pub request_id: HeaderName,
  /// Whether callers accept fractions of seconds in `Retry-After`.
  pub retry_after_fractions: bool,
  /// Milliseconds left until the request's deadline.
  pub time_left_ms: HeaderName,
}

impl Default for HeaderNames {
  /// Returns the product's own header names.
  fn default() -> Self {
    Self {
      caller_service: None,
      cold_ms: None,
      expected_instance: None,
      instance: None,
      leaving: None,
      not_run: None,
      organisation: Some(HeaderName::from_static(ORGANISATION)),
      rate_limit: Some(HeaderName::from_static(RATE_LIMIT)),
      reported_load: Some(HeaderName::from_static(LOAD)),
      request_id: HeaderName::from_static(REQUEST_ID),
      retry_after_fractions: false,
      time_left_ms: HeaderName::from_static(TIME_LEFT_MS),
    }
  }
}
