use super::*;

/// What the parts of a daemon share about organisations.
impl Shared {
  /// Milliseconds before a revoked key must hold no more at which a box that is cut off stops to take any: requests
  /// that it took must have reached their backend servers by then.
  const REVOCATION_SPARE_MS: u64 = 1_000;

  /// Takes over the keys and rate limits of a configuration.
  pub(super) fn set_organisations(&self, configuration: &Configuration) {
    let has_limit = |name: &OrganisationName| {
      configuration.organisations.get(name).is_some_and(|one| one.value.rate_limit.is_some())
    };
    self.rate_limits.borrow_mut().retain(has_limit);
    *self.key_ring.borrow_mut() = Rc::new(KeyRing::new(configuration));
  }

  /// The configuration in force was confirmed so many milliseconds ago; nothing where it never was.
  pub fn note_confirmed(&self, age_ms: Option<u64>) {
    let now = self.now().time;
    self.confirmed_at.set(age_ms.map(|age_ms| Time(now.0.saturating_sub(age_ms))));
  }

  /// Whether keys hold only while it is known that they were not taken away.
  pub fn must_know_revocations(&self) -> bool {
    self.settings.deployment.as_ref().is_some_and(|one| one.revoke_ms.is_some())
  }

  /// Whether a key may have been taken away so long ago that it must not hold here any more.
  pub fn may_miss_revocation(&self) -> bool {
    let Some(revoke_ms) = self.settings.deployment.as_ref().and_then(|one| one.revoke_ms) else {
      return false;
    };
    let latest_ms = revoke_ms.saturating_sub(Self::REVOCATION_SPARE_MS);
    let now = self.now().time;
    self.confirmed_at.get().is_none_or(|at| now.since_ms(at) >= latest_ms)
  }

  /// The keys of organisations in force.
  pub fn key_ring(&self) -> Rc<KeyRing> {
    self.key_ring.borrow().clone()
  }

  /// What an organisation may ask for; nothing where it is not known, or may ask for anything.
  pub fn rate_limit(&self, organisation: &OrganisationName) -> Option<RateLimit> {
    self.configuration()?.organisations.get(organisation)?.value.rate_limit
  }
}
