use super::*;

/// Rollouts of the software of backend servers.
impl Shared {
  /// Milliseconds for which a version still runs requests after it lost its traffic, until every connected box
  /// knows that it gets none.
  const LEAVING_MS: u64 = 500;
  /// Milliseconds between two reports on the backend server's answers, so that half of them are known while a bad
  /// version does little harm.
  const EVIDENCE_MS: u64 = 200;

  /// Sets which versions of services get which requests.
  pub fn set_traffic(&self, traffic: BTreeMap<ServiceName, Traffic>) {
    self.traffic.borrow_mut().set(traffic);
    let own = self.own_traffic();
    self.observer.borrow_mut().set_rollout(own.order_revision);
    let is_leaving =
      self.backend.borrow().software().is_some_and(|software| own.is_leaving(software));
    let since = self.traffic_lost_at.get().unwrap_or_else(|| self.now().time);
    self.traffic_lost_at.set(is_leaving.then_some(since));
  }

  /// Returns which versions of this box's service get which requests.
  pub fn own_traffic(&self) -> Rc<Traffic> {
    self.traffic.borrow().of(&self.own_service())
  }

  /// Returns why the version of the backend server runs no requests; `None` if it does.
  pub fn version_rejection_reason(&self) -> Option<&'static str> {
    if self.has_lost_traffic() {
      return Some("the version of the backend server goes out of force");
    }
    if self.settings.deployment.is_some() && !self.traffic.borrow().is_known() {
      return Some("the fleet is not known yet");
    }
    let own = self.own_traffic();
    own.rejection_reason(self.backend.borrow().software())
  }

  fn has_lost_traffic(&self) -> bool {
    let now = self.now().time;
    self.traffic_lost_at.get().is_some_and(|since| now.since_ms(since) >= Self::LEAVING_MS)
  }

  /// Returns the evidence to report on the backend server's answers, at most every [`Self::EVIDENCE_MS`] during a
  /// rollout.
  pub(super) fn take_evidence(&self, own: &Endpoint) -> Option<Evidence> {
    let now = self.now().time;
    if now.since_ms(self.evidence_at.get()) < Self::EVIDENCE_MS {
      return None;
    }
    self.evidence_at.set(now);
    let is_closed = self.has_lost_traffic() && self.load() == (0, 0);
    self.observer.borrow_mut().evidence(own, is_closed)
  }
}
