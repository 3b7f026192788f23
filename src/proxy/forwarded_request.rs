use super::*;

/// A request that is being forwarded, with the data that each hop needs.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
  /// Its own rank, if the room of its service admitted it; `None` if that was not asked. Its urgency
  /// has the rank at backend servers.
  pub admitted_rank: Option<u32>,
  /// Expected size of its answer in bytes.
  pub answer_bytes: u64,
  /// Largest number of backend servers to which it may be sent.
  pub attempts_max: u32,
  /// Credit for retries of the calls that its run makes.
  pub call_credit: CallCredit,
  /// Thousandths of a call that its run makes to each service; `None` where that is unknown.
  pub calls: Option<Vec<(ServiceName, u32)>>,
  /// The service of its caller.
  pub caller_service: ServiceName,
  /// The class of its caller.
  pub class: CallerClass,
  /// When its answer is due.
  pub deadline: Time,
  /// How long its run is expected to take at the usual backend server of its service; `None` where
  /// that is unknown.
  pub estimate: Option<RunEstimate>,
  /// Identifies the request when its caller sends it again.
  pub fingerprint: Fingerprint,
  /// The head that the backend server receives.
  pub head: ForwardedHead,
  /// Its id.
  pub id: RequestId,
  /// The rate limit of this box's backend server that the sender of a received request heard of.
  pub known_limit: Option<LimitHint>,
  /// Whether it may queue for a slot. Otherwise a box that cannot run it at once declines it, and
  /// another box is tried.
  pub may_queue: bool,
  /// Which of its service's versions should run it.
  pub lane: Lane,
  /// The only box to which it may be sent, if it is on trial after a quarantine.
  pub only_box: Option<BoxId>,
  /// The organisation of its caller, if a valid key proves it.
  pub organisation: Option<OrganisationName>,
  /// The regions in which it may be served; `None` allows every region.
  pub regions: Option<BTreeSet<Region>>,
  /// Whether it may run more than once.
  pub repeatable: bool,
  /// Its route, which is sent along only during a rollout of its service.
  pub route: Option<RouteName>,
  /// The service that receives it.
  pub service: ServiceName,
  /// Whether it is retried at another box after an answer that reports a failure.
  pub retry_failures: bool,
  /// How urgent it is.
  pub urgency: Urgency,
  /// The version whose routes chose the service.
  pub version: Version,
}

/// The forwarded parts of a request's head.
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
  /// Returns the fingerprint that identifies the request when its caller sends it again to any box.
  /// It covers the request line, host, caller class and body. Of a streamed body it covers only the
  /// size, as the content is unknown before it is forwarded.
  pub fn fingerprint(&self, class: &CallerClass, body: &RequestBody) -> Fingerprint {
    let host = headers::text(&self.headers, "host").unwrap_or_default();
    let asked =
      format!("{} {host} {}\n{class}\n{}\n", self.method, self.target, body.known_bytes());
    let held = body.buffered().unwrap_or_default();
    Fingerprint::of(&Digest::of(&[asked.as_bytes(), held].concat()))
  }

  /// Returns method and path, for logs and records.
  pub fn line(&self) -> String {
    RequestRecord::line_of(&self.method, &self.target)
  }
}

impl ForwardedRequest {
  /// Returns the request for the next hop.
  pub fn request(&self, body: AnyBody, now: Time) -> Request<AnyBody> {
    let mut request = Request::new(body);
    *request.method_mut() = self.head.method.clone();
    *request.uri_mut() = self.head.target.clone();
    *request.headers_mut() = self.head.headers.clone();
    let headers = request.headers_mut();
    headers::set_name(headers, headers::REQUEST_ID, &self.id);
    headers::set(headers, headers::TIME_LEFT_MS, self.deadline.since_ms(now));
    request
  }

  /// Returns the properties on which dispatch bases its decisions.
  pub fn profile(&self, body: &RequestBody) -> RequestProfile {
    RequestProfile {
      answer_bytes: self.answer_bytes,
      attempts_max: self.attempts_max,
      body_bytes: body.known_bytes(),
      deadline: self.deadline,
      estimate: self.estimate,
      is_body_held: body.buffered().is_some(),
      lane: self.lane,
      only_box: self.only_box.clone(),
      regions: self.regions.clone(),
      repeatable: self.repeatable,
      retry_failures: self.retry_failures,
      service: self.service.clone(),
      urgency: self.urgency,
    }
  }

  /// Whether only some of the backend servers of its service may serve it.
  pub fn is_bound(&self) -> bool {
    self.regions.is_some() || self.only_box.is_some()
  }

  /// Returns the same request for a try.
  pub fn for_try(&self, order: &TryOrder) -> Self {
    let (call_credit, may_queue) = (order.call_credit.clone(), order.may_queue);
    Self { call_credit, may_queue, ..self.clone() }
  }

  /// Returns the text that the forwarding daemon seals, so that no other process can impersonate
  /// it.
  pub fn sealed_text(&self, key: TryKey, time_left_ms: u64) -> String {
    let organisation = self.organisation.as_ref().map_or(Cow::Borrowed(""), GivenName::encoded);
    format!(
      "{key} {} {} {} {} {} {} {time_left_ms} {} {} {} {} {organisation}",
      self.head.method,
      self.head.target,
      self.id.encoded(),
      self.fingerprint,
      self.service.encoded(),
      self.class,
      self.version,
      self.repeatable,
      self.caller_service.encoded(),
      self.urgency.priority,
    )
  }
}
