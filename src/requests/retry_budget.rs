use super::*;

/// Limits the retries of each service to a share of its requests.
///
/// Only the daemon that observes a failure retries it: an answer of a backend server is final for
/// all callers above, so that a chain of calls doesn't multiply retries.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
  limits: RetryLimits,
  services: BTreeMap<ServiceName, ServiceCredit>,
}

/// What a daemon may still retry at one service.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceCredit {
  /// Thousandths of a retry that are left.
  credit: u32,
  /// The most of it that may be spent on requests whose calls are unknown.
  credit_for_unknown_calls: u32,
  /// The heaviest retries that were asked for lately.
  wanted: RetryWeight,
  /// Requests that the service has yet to get until lighter retries are allowed again.
  wanted_for: u32,
}

/// A daemon's limits on the retries of each service, in thousandths of a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryLimits {
  /// Earned by each request.
  pub earned: u32,
  /// Maximum savings.
  pub saved_max: u32,
}

impl Default for RetryLimits {
  fn default() -> Self {
    Self { earned: 100, saved_max: 10_000 }
  }
}

impl RetryLimits {
  /// The fraction of the fleet's ratio that daemons earn for retries of requests. The calls that a
  /// retried run makes again are repeats at the called service too, on top of the retries of calls,
  /// also where a daemon doesn't know of these calls.
  const RATIO_FRACTION: f64 = 0.4;
  /// The fraction of the fleet's fixed allowance that daemons may save.
  const EXTRA_FRACTION: f64 = 0.5;
  /// Calls to one service that a run of unknown calls is taken to make. Savings are divided by it, so
  /// that the calls which retries repeat stay within the fixed allowance of that service.
  const UNKNOWN_CALLS: u32 = 4;

  /// Returns the limits of one of `daemons` daemons that keep the fleet, without coordination,
  /// within `ratio` retries per request plus `extra` retries.
  pub fn share(ratio: f64, extra: u64, daemons: usize) -> Self {
    #[allow(clippy::cast_precision_loss)]
    let extra = extra as f64 * Self::EXTRA_FRACTION / daemons.max(1) as f64;
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let thousandths = |retries: f64| (retries * 1_000.0) as u32;
    // With savings of less than one retry, a daemon could never retry.
    Self {
      earned: thousandths(ratio * Self::RATIO_FRACTION),
      saved_max: thousandths(extra.max(1.0)),
    }
  }

  /// Returns the maximum savings for requests whose calls are unknown: at least one retry, as they
  /// could never be retried otherwise.
  fn unknown_max(self) -> u32 {
    (self.saved_max / Self::UNKNOWN_CALLS).max(RetryBudget::RETRY_COST)
  }
}

impl RetryBudget {
  /// Thousandths of a retry that one retry costs.
  const RETRY_COST: u32 = 1_000;
  /// Maximum initial savings of a service, in thousandths of a retry.
  const START_MAX: u32 = 3_000;
  /// Number of requests to a service for which lighter retries wait after a heavier one was asked
  /// for. At usual ratios they earn one or two retries.
  const WANTED_FOR: u32 = 20;

  /// Sets the limits.
  pub fn set_limits(&mut self, limits: RetryLimits) {
    self.limits = limits;
  }

  /// Adds what one request earns.
  pub fn earn(&mut self, service: &ServiceName) {
    let limits = self.limits;
    let is_new = !self.services.contains_key(service);
    let known = self.credit_of(service);
    let saved_max = if is_new { u32::MAX } else { limits.saved_max };
    known.credit = known.credit.saturating_add(limits.earned).min(saved_max);
    known.credit_for_unknown_calls =
      known.credit_for_unknown_calls.saturating_add(limits.earned).min(limits.unknown_max());
    known.wanted_for = known.wanted_for.saturating_sub(1);
  }

  /// Adds what one request earns at the services that its run calls, for the calls of its retries.
  /// `calls` are in thousandths of a call to each service. Boxes that make such calls earn the same
  /// again for retries of the calls themselves. Returns what exceeds the savings, for
  /// [`RetryBudget::earn_passed`] where the calls are made.
  pub fn earn_for(&mut self, calls: &[(ServiceName, u32)]) -> CallCredit {
    let limits = self.limits;
    let mut passed = CallCredit::default();
    for (called, permille) in calls.iter().filter(|(_, permille)| *permille > 0) {
      let earned = u64::from(limits.earned) * u64::from(*permille) / 1_000;
      let earned = u32::try_from(earned).unwrap_or(u32::MAX);
      let known = self.credit_of(called);
      let saved = earned.min(limits.saved_max.saturating_sub(known.credit));
      known.credit += saved;
      passed.add(called, earned - saved);
    }
    passed
  }

  /// Adds what one call to a service earns out of the credit that was passed on to its run: as much
  /// as the call itself at most, so that credit counts in the same time as the calls that earned
  /// it, and a wrong figure at most doubles what calls earn.
  pub fn earn_passed(&mut self, service: &ServiceName, passed: &mut CallCredit) {
    let limits = self.limits;
    let known = self.credit_of(service);
    let room = limits.saved_max.saturating_sub(known.credit);
    known.credit += passed.take(service, limits.earned.min(room));
  }

  /// Returns the credit of a service, which begins with [`RetryBudget::start`].
  fn credit_of(&mut self, service: &ServiceName) -> &mut ServiceCredit {
    let credit = self.start();
    if !self.services.contains_key(service) {
      let credit_for_unknown_calls = credit.min(self.limits.unknown_max());
      let known = ServiceCredit { credit, credit_for_unknown_calls, ..ServiceCredit::default() };
      self.services.insert(service.clone(), known);
    }
    self.services.entry(service.clone()).or_default()
  }

  /// Returns the starting savings of a service.
  fn start(&self) -> u32 {
    Self::START_MAX.min(self.limits.saved_max)
  }

  /// Spends one retry and returns true, if one is left.
  pub fn spend(&mut self, service: &ServiceName) -> bool {
    let known = self.services.get_mut(service);
    let Some(known) = known.filter(|known| known.credit >= Self::RETRY_COST) else {
      return false;
    };
    known.credit -= Self::RETRY_COST;
    true
  }

  /// Spends one retry and what the run's `calls`, in thousandths of a call to each service, cost
  /// there. Returns false where nothing is left for one of them, or where heavier retries were
  /// asked for lately.
  pub fn spend_for(
    &mut self,
    service: &ServiceName,
    weight: RetryWeight,
    calls: &[(ServiceName, u32)],
  ) -> bool {
    self.note_wanted(service, weight);
    self.is_wanted(service, weight) && self.spend_all(service, calls)
  }

  /// Spends one hedged try as [`RetryBudget::spend_for`] does, but keeps no lighter retries
  /// waiting: nothing failed yet.
  pub fn spend_hedge(
    &mut self,
    service: &ServiceName,
    weight: RetryWeight,
    calls: &[(ServiceName, u32)],
  ) -> bool {
    self.is_wanted(service, weight) && self.spend_all(service, calls)
  }

  /// Spends one retry of a request whose calls are unknown, as [`RetryBudget::spend_for`] does.
  /// There are fewer savings for these, as nothing is charged at the services that it may call.
  pub fn spend_unknown(&mut self, service: &ServiceName, weight: RetryWeight) -> bool {
    self.note_wanted(service, weight);
    self.spend_hedge_unknown(service, weight)
  }

  /// Spends one hedged try of a request whose calls are unknown, as [`RetryBudget::spend_hedge`]
  /// does.
  pub fn spend_hedge_unknown(&mut self, service: &ServiceName, weight: RetryWeight) -> bool {
    let left = self.services.get(service).map_or(0, |known| known.credit_for_unknown_calls);
    let is_spent = left >= Self::RETRY_COST && self.spend_hedge(service, weight, &[]);
    if is_spent {
      self.credit_of(service).credit_for_unknown_calls -= Self::RETRY_COST;
    }
    is_spent
  }

  fn spend_all(&mut self, service: &ServiceName, calls: &[(ServiceName, u32)]) -> bool {
    if !self.can_call(calls) || !self.spend(service) {
      return false;
    }
    for (called, permille) in calls.iter().filter(|(_, permille)| *permille > 0) {
      let known = self.credit_of(called);
      known.credit = known.credit.saturating_sub(*permille);
    }
    true
  }

  /// Whether a retry of this weight may be made: no heavier ones were asked for lately, or all
  /// savings are left, so that heavier ones lack nothing.
  fn is_wanted(&self, service: &ServiceName, weight: RetryWeight) -> bool {
    self.services.get(service).is_some_and(|known| {
      let is_lighter = known.wanted_for > 0 && known.wanted > weight;
      !is_lighter || known.credit >= self.limits.saved_max
    })
  }

  /// Records that a retry was asked for, unless a heavier one was asked for lately.
  fn note_wanted(&mut self, service: &ServiceName, weight: RetryWeight) {
    let known = self.services.get_mut(service);
    if let Some(known) = known.filter(|one| one.wanted_for == 0 || one.wanted <= weight) {
      (known.wanted, known.wanted_for) = (weight, Self::WANTED_FOR);
    }
  }

  /// Whether there is credit for the calls of a run. Full savings are enough for any number.
  fn can_call(&self, calls: &[(ServiceName, u32)]) -> bool {
    calls
      .iter()
      .all(|(called, permille)| self.left(called) >= (*permille).min(self.limits.saved_max))
  }

  /// Returns the thousandths of a retry that are left for a service.
  pub fn left(&self, service: &ServiceName) -> u32 {
    self.services.get(service).map_or(self.start(), |known| known.credit)
  }

  /// Whether at least two retries are left: retries of failures have precedence over hedged tries.
  pub fn has_spare(&self, service: &ServiceName) -> bool {
    self.services.get(service).is_some_and(|known| known.credit >= 2 * Self::RETRY_COST)
  }
}
