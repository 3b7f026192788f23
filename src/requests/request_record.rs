use super::*;

/// What a daemon remembers of a request that it carried.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct RequestRecord {
  /// The tries, in order.
  pub attempts: Vec<Attempt>,
  /// The box whose daemon carried the request.
  pub box_id: BoxId,
  /// What became of the claim on the request's key.
  pub claim: Option<String>,
  /// The caller's class.
  pub class: CallerClass,
  /// The request's id.
  pub id: RequestId,
  /// The method and path.
  pub line: String,
  /// Why the request was refused.
  pub refusal: Option<String>,
  /// The route and the service that it names.
  pub route: Option<(RouteName, ServiceName)>,
  /// The status that the caller got.
  pub status: u16,
  /// Microseconds to the head of the answer.
  pub took_us: u64,
  /// When it arrived, in milliseconds since 1970.
  pub unix_ms: u64,
  /// The configuration version that routed it.
  pub version: Version,
}

impl RequestRecord {
  /// Characters of a method and path that are kept.
  const LINE_CHARS_MAX: usize = 200;

  /// The method and path of a request, as records and logs name it.
  pub fn line_of(method: &Method, target: &http::Uri) -> String {
    format!("{method} {}", target.path()).chars().take(Self::LINE_CHARS_MAX).collect()
  }

  /// Whether the request ended in a way that someone may ask about.
  pub fn is_failure(&self) -> bool {
    self.refusal.is_some() || self.status >= 500 || self.attempts.len() > 1
  }
}
