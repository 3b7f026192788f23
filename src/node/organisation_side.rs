use super::*;

/// Keys and rate limits of organisations.
impl Shared {
  /// Milliseconds by which a box that is cut off stops accepting keys ahead of the time limit for revocations:
  /// requests that it accepted must have reached their backend servers by then.
  const REVOCATION_MARGIN_MS: u64 = 1_000;

  /// Applies the keys and rate limits of a configuration.
  pub(super) fn set_organisations(&self, configuration: &Configuration) {
    let has_limit = |name: &OrganisationName| {
      configuration.organisations.get(name).is_some_and(|one| one.value.rate_limit.is_some())
    };
    self.rate_limits.borrow_mut().retain(has_limit);
    *self.key_ring.borrow_mut() = Rc::new(KeyRing::new(configuration));
  }

  /// Records how many milliseconds ago the configuration in force was confirmed; `None` if never.
  pub fn note_confirmed(&self, age_ms: Option<u64>) {
    let now = self.now().time;
    self.confirmed_at.set(age_ms.map(|age_ms| Time(now.0.saturating_sub(age_ms))));
  }

  /// Returns whether keys are valid only while it is known that they were not revoked.
  pub fn must_know_revocations(&self) -> bool {
    self.settings.deployment.as_ref().is_some_and(|one| one.revoke_ms.is_some())
  }

  /// Returns whether a key may have been revoked so long ago that no key may be accepted here any more.
  pub fn may_miss_revocation(&self) -> bool {
    let Some(revoke_ms) = self.settings.deployment.as_ref().and_then(|one| one.revoke_ms) else {
      return false;
    };
    let latest_ms = revoke_ms.saturating_sub(Self::REVOCATION_MARGIN_MS);
    let now = self.now().time;
    self.confirmed_at.get().is_none_or(|at| now.since_ms(at) >= latest_ms)
  }

  /// Returns the keys of organisations in force.
  pub fn key_ring(&self) -> Rc<KeyRing> {
    self.key_ring.borrow().clone()
  }

  /// Returns the rate limit of an organisation; `None` if it is unknown or has no limit.
  pub fn rate_limit(&self, organisation: &OrganisationName) -> Option<RateLimit> {
    self.configuration()?.organisations.get(organisation)?.value.rate_limit
  }
}
