use super::*;

/// The header names of the platform's callers and backend servers.
pub fn dialect() -> HeaderNames {
  let name = HeaderName::from_static;
  HeaderNames {
    caller_service: Some(name("x-caller-service")),
    // 0, or no header, from one that is not cold.
    cold_ms: Some(name("x-cold-ms")),
    expected_instance: Some(name("x-expect-instance")),
    instance: Some(name("x-instance-id")),
    not_run: Some(name("x-not-executed")),
    organisation: Some(name("x-tenant-id")),
    // Running, waiting and slots, joined by commas.
    reported_load: Some(name("x-server-load")),
    request_id: name("x-request-id"),
    retry_after_fractions: true,
    time_left_ms: name("x-deadline-ms"),
  }
}
