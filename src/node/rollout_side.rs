use super::*;

/// What the parts of a daemon share about roll-outs.
impl Shared {
  /// Milliseconds for which a version that goes out of force still runs requests: by then every box in touch has
  /// heard that it gets none.
  const LEAVING_MS: u64 = 500;
  /// Milliseconds between two words on the backend server's answers: half of them are heard of while a bad version
  /// does little harm.
  const EVIDENCE_MS: u64 = 200;

  /// Takes over which versions of services get which requests.
  pub fn set_traffic(&self, traffic: BTreeMap<ServiceName, Traffic>) {
    self.traffic.borrow_mut().set(traffic);
    let own = self.own_traffic();
    self.observer.borrow_mut().set_rollout(own.order_revision);
    let is_leaving =
      self.backend.borrow().software().is_some_and(|software| own.is_leaving(software));
    let since = self.leaving_since.get().unwrap_or_else(|| self.now().time);
    self.leaving_since.set(is_leaving.then_some(since));
  }

  /// Which versions of the service beside the daemon get which requests.
  pub fn own_traffic(&self) -> Rc<Traffic> {
    self.traffic.borrow().of(&self.own_service())
  }

  /// Why the version of the backend server runs no requests; nothing where it does.
  pub fn why_out_of_force(&self) -> Option<&'static str> {
    if self.has_left_force() {
      return Some("the version of the backend server goes out of force");
    }
    if self.settings.deployment.is_some() && !self.traffic.borrow().is_known() {
      return Some("the fleet is not known yet");
    }
    let own = self.own_traffic();
    own.rejection_reason(self.backend.borrow().software())
  }

  fn has_left_force(&self) -> bool {
    let now = self.now().time;
    self.leaving_since.get().is_some_and(|since| now.since_ms(since) >= Self::LEAVING_MS)
  }

  /// What there is to tell of the backend server's answers, every now and then while a roll-out goes on.
  pub(super) fn take_evidence(&self, own: &Endpoint) -> Option<Evidence> {
    let now = self.now().time;
    if now.since_ms(self.evidence_at.get()) < Self::EVIDENCE_MS {
      return None;
    }
    self.evidence_at.set(now);
    let is_closed = self.has_left_force() && self.load() == (0, 0);
    self.observer.borrow_mut().evidence(own, is_closed)
  }
}
