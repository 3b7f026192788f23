use super::*;

/// A request on its way to a backend server.
#[derive(Clone, Debug)]
pub struct Forwarded {
  /// The caller's class.
  pub class: CallerClass,
  /// When the answer must have started.
  pub deadline: Time,
  /// The head as the backend server gets it.
  pub head: ForwardedHead,
  /// The request's id.
  pub id: RequestId,
  /// Whether the request may run more than once.
  pub repeatable: bool,
  /// The service.
  pub service: ServiceName,
  /// The configuration version that routed it.
  pub version: Version,
}

/// The head of a request as the backend server gets it.
#[derive(Clone, Debug)]
pub struct ForwardedHead {
  /// The headers.
  pub headers: HeaderMap,
  /// The method.
  pub method: Method,
  /// The path and query.
  pub target: http::Uri,
}

impl Forwarded {
  /// The request with a body, for one try.
  pub fn request(&self, body: AnyBody, now: Time) -> Request<AnyBody> {
    let mut request = Request::new(body);
    *request.method_mut() = self.head.method.clone();
    *request.uri_mut() = self.head.target.clone();
    *request.headers_mut() = self.head.headers.clone();
    let headers = request.headers_mut();
    headers::set(headers, headers::REQUEST_ID, &self.id);
    headers::set(headers, headers::TIME_LEFT_MS, self.deadline.since_ms(now));
    request
  }

  /// What the forwarding daemon proves with the fleet key.
  pub fn sealed_text(&self, time_left_ms: u64) -> String {
    format!(
      "{} {} {} {} {} {time_left_ms} {} {}",
      self.head.method,
      self.head.target,
      self.id,
      self.service,
      self.class,
      self.version,
      self.repeatable
    )
  }
}
