use super::*;

/// A run of a request at the backend server. Dropping it before it ends counts as a cancellation by
/// the sender.
pub struct RunGuard {
  fingerprint: Fingerprint,
  id: RequestId,
  is_on_trial: bool,
  run: Option<RunId>,
  shared: Rc<Shared>,
}

impl RunGuard {
  /// Begins a run, unless the request is quarantined.
  pub fn begin(
    shared: &Rc<Shared>,
    id: &RequestId,
    fingerprint: Fingerprint,
  ) -> std::result::Result<Self, AttemptOutcome> {
    let now = shared.now().time;
    let own_box = &shared.settings.box_id;
    let is_trial_box =
      || trial_box(shared, fingerprint, &shared.own_service()).is_some_and(|one| one == *own_box);
    let status = shared.quarantine.borrow_mut().begin_run(now, fingerprint, is_trial_box);
    if let QuarantineStatus::Held { crashes, retry_after_ms } = status {
      return Err(held_back(fingerprint, crashes, retry_after_ms));
    }
    shared.running_requests.borrow_mut().begin(id);
    let run = shared.crash_detector.borrow_mut().begin(fingerprint);
    let is_on_trial = status == QuarantineStatus::OnTrial;
    if is_on_trial {
      info!(
        shared.log.logger, #Log::REQUEST, "a request that was held back runs on trial";
        "request_id" => %id, "fingerprint" => %fingerprint
      );
    }
    Ok(Self { fingerprint, id: id.clone(), is_on_trial, run: Some(run), shared: shared.clone() })
  }

  /// Records the end of the run.
  pub fn end(&mut self, end: RunEnd) {
    let Some(run) = self.run.take() else {
      return;
    };
    self.shared.running_requests.borrow_mut().end(&self.id);
    if self.is_on_trial {
      self.end_trial(end);
    }
    self.shared.run_ended(run, self.fingerprint, end);
  }
}

impl RunGuard {
  fn end_trial(&self, end: RunEnd) {
    let mut quarantine = self.shared.quarantine.borrow_mut();
    match end {
      RunEnd::Completed | RunEnd::Unsent => quarantine.trial_ended(self.fingerprint),
      RunEnd::Cancelled | RunEnd::ConnectionLost => {
        quarantine.trial_failed(self.shared.now().time, self.fingerprint);
      }
    }
  }
}

impl Drop for RunGuard {
  fn drop(&mut self) {
    self.end(RunEnd::Cancelled);
  }
}

/// Milliseconds between two looks whether a trial has ended.
const TRIAL_POLL_MS: u64 = 20;

/// Waits while another trial keeps a request from running, as long as it may wait for a slot: an
/// innocent request is cleared when the trial ends.
pub async fn wait_for_trial(shared: &Shared, forwarded: &ForwardedRequest) {
  loop {
    let now = shared.now().time;
    let must_wait = shared.quarantine.borrow().awaits_trial(now, forwarded.fingerprint);
    if !must_wait || now >= forwarded.urgency.wait_until {
      return;
    }
    timer::sleep(Duration::from_millis(TRIAL_POLL_MS)).await;
  }
}

/// Returns the box that may run a quarantined request of a service on trial, or `None` if no box of
/// the service accepts requests.
pub fn trial_box(
  shared: &Shared,
  fingerprint: Fingerprint,
  service: &ServiceName,
) -> Option<BoxId> {
  let endpoints = shared.endpoints_of(service);
  let traffic = shared.traffic.borrow().of(service);
  let lane = traffic.default_lane();
  let live =
    endpoints.iter().filter(|one| one.state == EndpointState::Live && traffic.admits(one, lane));
  Quarantine::trial_box(fingerprint, live.map(|one| &one.peer.box_id)).cloned()
}

/// Returns the outcome of a quarantined request, which has not run this time.
pub fn held_back(fingerprint: Fingerprint, crashes: u32, retry_after_ms: u64) -> AttemptOutcome {
  let reason = format!(
    "{crashes} processes of backend servers ended while they ran this request (fingerprint \
     {fingerprint}), so it is held back"
  );
  AttemptOutcome::not_run(reason, retry_after_ms)
}
