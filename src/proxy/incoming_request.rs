use super::*;

/// The mesh-related values of a caller's request head, parsed.
pub struct IncomingRequest {
  /// The caller's class.
  pub class: CallerClass,
  /// Depth of nested calls that led to the request.
  pub depth: u32,
  /// The requested host, without a port.
  pub host: Option<String>,
  /// The request's id, from its head or else generated.
  pub id: RequestId,
  /// The idempotency key of a request that may run at most once.
  pub key: Option<String>,
  /// Milliseconds that the caller still waits, if its head says so.
  pub time_left_ms: Option<u64>,
}

impl IncomingRequest {
  /// Longest id of a caller in bytes. A request with a longer one gets an id of this daemon, as ids
  /// are kept for some time after their requests.
  const ID_BYTES_MAX: usize = 200;
  /// Largest depth of nested calls. The mesh is designed for 21; a deeper request counts as a loop.
  pub const DEPTH_MAX: u32 = 32;

  /// Parses the head of a request.
  pub fn read(shared: &Shared, head: &http::request::Parts) -> Self {
    let host = head.uri.host().map(ToString::to_string).or_else(|| {
      let named = headers::text(&head.headers, "host")?;
      Some(named.rsplit_once(':').map_or(named, |(name, _)| name).to_string())
    });
    Self {
      class: headers::parsed(&head.headers, headers::CALLER_CLASS)
        .unwrap_or_else(CallerClass::unnamed),
      depth: headers::parsed(&head.headers, headers::DEPTH).unwrap_or(0),
      host,
      id: headers::text(&head.headers, shared.header_names.request_id.as_str())
        .filter(|id| (1..=Self::ID_BYTES_MAX).contains(&id.len()))
        .map_or_else(|| shared.names.request_id(), RequestId::from),
      key: headers::text(&head.headers, headers::KEY).map(ToString::to_string),
      time_left_ms: headers::parsed(&head.headers, shared.header_names.time_left_ms.as_str()),
    }
  }
}
