use super::*;

/// What the backend server beside the daemon says about itself in its answers.
impl Shared {
  /// Records the notices in an answer to a request. `process` is the process that the request named.
  pub fn backend_answered(&self, process: Option<&Process>, notices: BackendNotices) {
    if self.backend.borrow().process() != process {
      return;
    }
    let now = self.now().time;
    self.speed.borrow_mut().told(now, notices.slowdown);
    let before = self.named_limit.borrow().rate();
    let is_changed = match notices.limit {
      LimitNotice::Named(rate) => self.named_limit.borrow_mut().named(now, rate),
      LimitNotice::NotNamed => self.named_limit.borrow_mut().not_named(now),
      LimitNotice::Unreadable => false,
    };
    if is_changed {
      self.apply_named_limit();
      self.log_named_limit(process, before);
    }
    if let Some(process) = process.filter(|_| notices.is_leaving) {
      self.backend_leaves(process);
    }
  }

  /// Records that an answer of the backend server's process says that it leaves. It gets no new requests from now on,
  /// as after its own report, which may be late or lost.
  fn backend_leaves(&self, process: &Process) {
    if self.backend_state() == BackendState::Leaving {
      return;
    }
    self.backend.borrow_mut().deregistered(process);
    self.is_leaving_unannounced.set(true);
    info!(
      self.log.logger, "an answer of the backend server says that it leaves";
      "instance" => %process
    );
  }

  /// Returns whether an answer said that the backend server leaves since this was last asked.
  pub(super) fn take_leaving_notice(&self) -> bool {
    self.is_leaving_unannounced.take()
  }

  /// Records the limit in an answer of the health endpoint. One that names none proves nothing.
  pub fn health_named_limit(&self, notices: BackendNotices) {
    self.speed.borrow_mut().told(self.now().time, notices.slowdown);
    let LimitNotice::Named(rate) = notices.limit else {
      return;
    };
    let before = self.named_limit.borrow().rate();
    if self.named_limit.borrow_mut().named(self.now().time, rate) {
      self.apply_named_limit();
      let process = self.backend.borrow().process().cloned();
      self.log_named_limit(process.as_ref(), before);
    }
  }

  /// Returns the limit in force, for other daemons.
  pub fn limit_hint(&self) -> Option<LimitHint> {
    let rate = self.named_limit.borrow().rate()?;
    let instance = self.backend.borrow().process().map(|process| process.id.clone());
    Some(LimitHint { instance, rate })
  }

  /// Records the limit that another daemon knows of the backend server's process.
  pub fn limit_hinted(&self, hint: &LimitHint) {
    let process = self.backend.borrow().process().cloned();
    if process.as_ref().map(|process| &process.id) != hint.instance.as_ref() {
      return;
    }
    let before = self.named_limit.borrow().rate();
    if self.named_limit.borrow_mut().hinted(self.now().time, hint.rate) {
      self.apply_named_limit();
      self.log_named_limit(process.as_ref(), before);
    }
  }

  /// Applies the limit in force to the requests that pass.
  pub(super) fn apply_named_limit(&self) {
    let (now, rate) = (self.now().time, self.named_limit.borrow().rate());
    let admitted = self.limiter.borrow_mut().set_rate(now, rate);
    for ticket in admitted {
      self.admit(ticket);
    }
  }

  /// Starts the timer that gives slots to requests which wait for the named limit or for slots left
  /// free for calls, unless it runs.
  pub fn watch_pace(self: &Rc<Self>) {
    let is_needed = self.limiter.borrow().wake_at(self.now().time).is_some();
    if is_needed && !self.is_pacing.replace(true) {
      monoio::spawn(pace(self.clone()));
    }
  }

  /// Logs a change of the limit, and reports it in the metrics.
  fn log_named_limit(&self, process: Option<&Process>, before: Option<Rate>) {
    let limit = self.named_limit.borrow().rate();
    self.metrics.backend_limit.set(limit.map_or(0.0, Rate::requests_per_s));
    let in_words = |limit: Option<Rate>| limit.map_or("none".into(), |rate| rate.to_string());
    info!(
      self.log.logger, #Log::REQUEST, "the rate limit that the backend server names changed";
      "instance" => process.map(ToString::to_string), "before" => in_words(before),
      "limit" => in_words(limit), "requests_passed" => self.metrics.backend_requests.get()
    );
  }
}

/// Gives slots to queued requests as the named limit and the slots left free for calls allow, until
/// no request waits for either.
async fn pace(shared: Rc<Shared>) {
  loop {
    let now = shared.now().time;
    let Some(wake_at) = shared.limiter.borrow().wake_at(now) else {
      break;
    };
    timer::sleep(Duration::from_millis(wake_at.since_ms(now).max(1))).await;
    let admitted = shared.limiter.borrow_mut().admit(shared.now().time);
    for ticket in admitted {
      shared.admit(ticket);
    }
  }
  shared.is_pacing.set(false);
}
