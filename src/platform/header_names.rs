use super::*;

/// Returns the header names that the platform's callers and backend servers use.
pub fn header_names() -> HeaderNames {
  let name = HeaderName::from_static;
  HeaderNames {
    caller_service: Some(name("x-caller-service")),
    // 0 or absent unless the backend server is cold.
    cold_ms: Some(name("x-cold-ms")),
    expected_instance: Some(name("x-expect-instance")),
    instance: Some(name("x-instance-id")),
    leaving: Some(name("server-leaving")),
    not_run: Some(name("x-not-executed")),
    organisation: Some(name("x-tenant-id")),
    rate_limit: Some(name("server-limit")),
    // The running requests, waiting requests, slots and percent of the usual time, separated by
    // commas.
    reported_load: Some(name("x-server-load")),
    request_id: name("x-request-id"),
    retry_after_fractions: true,
    time_left_ms: name("x-deadline-ms"),
  }
}
