use super::*;

/// A request on its way through the mesh: what every stretch of the way needs.
#[derive(Clone, Debug)]
pub struct Forwarded {
  /// Bytes that its answer is expected to have.
  pub answer_bytes: u64,
  /// Backend servers to which it may be sent.
  pub attempts_max: u32,
  /// The service from which it comes.
  pub caller_service: ServiceName,
  /// The class of its caller.
  pub class: CallerClass,
  /// When its answer is due.
  pub deadline: Time,
  /// By what it is known again when it is sent anew.
  pub fingerprint: Fingerprint,
  /// Its head, as the backend server gets it.
  pub head: ForwardedHead,
  /// Its id.
  pub id: RequestId,
  /// Whether it waits for a slot. Otherwise it is for a box that can run it at once, and others are
  /// asked where this one cannot.
  pub insists: bool,
  /// Which of its service's versions it is meant for.
  pub lane: Lane,
  /// The one box to which it may be sent, where it is on trial.
  pub only_box: Option<BoxId>,
  /// The organisation of its caller, where that was proved.
  pub organisation: Option<OrganisationName>,
  /// The regions in which it may be served; nothing where it may be anywhere.
  pub regions: Option<BTreeSet<Region>>,
  /// Whether it may run more than once.
  pub repeatable: bool,
  /// The route that it takes, where that is told.
  pub route: Option<RouteName>,
  /// The service that receives it.
  pub service: ServiceName,
  /// Whether an answer that tells of a failure is asked for elsewhere.
  pub retry_failures: bool,
  /// How urgent it is.
  pub urgency: Urgency,
  /// The version whose routes chose the service.
  pub version: Version,
}

/// The parts of a request's head that travel.
#[derive(Clone, Debug)]
pub struct ForwardedHead {
  /// The headers.
  pub headers: HeaderMap,
  /// The method.
  pub method: Method,
  /// Path and query.
  pub target: http::Uri,
}

impl ForwardedHead {
  /// By what the request is known again when its caller sends it anew, at whatever box: what is asked for, by whom,
  /// and with which body. Of a body that streams only the size is known before it is sent on.
  pub fn fingerprint(&self, class: &CallerClass, body: &RequestBody) -> Fingerprint {
    let host = headers::text(&self.headers, "host").unwrap_or_default();
    let asked =
      format!("{} {host} {}\n{class}\n{}\n", self.method, self.target, body.known_bytes());
    let held = body.held().unwrap_or_default();
    Fingerprint::of(&Digest::of(&[asked.as_bytes(), held].concat()))
  }

  /// Method and path, for logs and records.
  pub fn line(&self) -> String {
    RequestRecord::line_of(&self.method, &self.target)
  }
}

impl Forwarded {
  /// The request as the next hop gets it.
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

  /// What decides the request's way.
  pub fn terms(&self, body: &RequestBody) -> RequestProfile {
    RequestProfile {
      answer_bytes: self.answer_bytes,
      attempts_max: self.attempts_max,
      body_bytes: body.known_bytes(),
      deadline: self.deadline,
      lane: self.lane,
      only_box: self.only_box.clone(),
      regions: self.regions.clone(),
      repeatable: self.repeatable,
      retry_failures: self.retry_failures,
      service: self.service.clone(),
      urgency: self.urgency,
    }
  }

  /// The same request for a try that waits, or does not.
  pub fn insisting(&self, insists: bool) -> Self {
    Self { insists, ..self.clone() }
  }

  /// What the forwarding daemon seals, so that no other process can speak for it.
  pub fn sealed_text(&self, key: TryKey, time_left_ms: u64) -> String {
    let organisation = self.organisation.as_ref().map_or("", OrganisationName::as_str);
    format!(
      "{key} {} {} {} {} {} {} {time_left_ms} {} {} {} {} {organisation}",
      self.head.method,
      self.head.target,
      self.id,
      self.fingerprint,
      self.service,
      self.class,
      self.version,
      self.repeatable,
      self.caller_service,
      self.urgency.priority,
    )
  }
}
