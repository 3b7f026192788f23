use super::*;

/// The record of a request that a daemon handled.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct RequestRecord {
  /// The tries, in order.
  pub attempts: Vec<Attempt>,
  /// The box whose daemon handled the request.
  pub box_id: BoxId,
  /// The outcome of the claim on the request's key.
  pub claim: Option<String>,
  /// The caller's class.
  pub class: CallerClass,
  /// The request's id.
  pub id: RequestId,
  /// The method and path.
  pub line: String,
  /// Why the request was refused.
  pub refusal: Option<String>,
  /// The matched route and its service.
  pub route: Option<(RouteName, ServiceName)>,
  /// The status code that the caller received.
  pub status: u16,
  /// Microseconds to the head of the answer.
  pub took_us: u64,
  /// When it arrived, in milliseconds since 1970.
  pub unix_ms: u64,
  /// The configuration version that routed it.
  pub version: Version,
}

impl RequestRecord {
  /// Maximum number of characters of a method and path.
  const LINE_CHARS_MAX: usize = 200;

  /// Returns the method and path of a request as they appear in records and logs.
  pub fn line_of(method: &Method, target: &http::Uri) -> String {
    format!("{method} {}", target.path()).chars().take(Self::LINE_CHARS_MAX).collect()
  }

  /// Whether the request was refused, answered with a server error, or tried more than once.
  pub fn is_failure(&self) -> bool {
    self.refusal.is_some() || self.status >= 500 || self.attempts.len() > 1
  }
}
