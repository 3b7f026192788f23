use super::*;

/// What a caller's request says about itself, checked.
pub struct IncomingRequest {
  /// The caller's class.
  pub class: CallerClass,
  /// How many calls deep the request is.
  pub depth: u32,
  /// The host that it names.
  pub host: Option<String>,
  /// The request's id, accepted or made.
  pub id: RequestId,
  /// The key of a request that must run at most once.
  pub key: Option<String>,
  /// Milliseconds that the caller still waits, where it says so.
  pub time_left_ms: Option<u64>,
}

impl IncomingRequest {
  /// Calls that may be nested. The design is for 21; more is taken for a loop.
  pub const DEPTH_MAX: u32 = 32;

  /// Reads the head of a request.
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
      id: headers::parsed(&head.headers, shared.header_names.request_id.as_str())
        .unwrap_or_else(|| shared.names.request_id()),
      key: headers::text(&head.headers, headers::KEY).map(ToString::to_string),
      time_left_ms: headers::parsed(&head.headers, shared.header_names.time_left_ms.as_str()),
    }
  }
}
