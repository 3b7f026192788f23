use super::*;

/// Limits the retries of each service to a share of its requests.
///
/// Only the daemon that observes a failure retries it: an answer of a backend server is final for
/// all callers above, so that a chain of calls doesn't multiply retries.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
  /// Thousandths of a retry that each service has left.
  credit: BTreeMap<ServiceName, u32>,
  limits: RetryLimits,
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
  /// The fraction of the fleet's ratio that daemons may spend. The rest is for the calls that a
  /// retried run makes, which count as retries too.
  const RATIO_FRACTION: f64 = 0.4;
  /// The fraction of the fleet's fixed allowance that daemons may save.
  const EXTRA_FRACTION: f64 = 0.5;

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
}

impl RetryBudget {
  /// Maximum initial savings of a service, in thousandths of a retry.
  const START_MAX: u32 = 3_000;

  /// Sets the limits.
  pub fn set_limits(&mut self, limits: RetryLimits) {
    self.limits = limits;
  }

  /// Adds what one request earns.
  pub fn earn(&mut self, service: &ServiceName) {
    if let Some(credit) = self.credit.get_mut(service) {
      *credit = (*credit + self.limits.earned).min(self.limits.saved_max);
      return;
    }
    let start = Self::START_MAX.min(self.limits.saved_max) + self.limits.earned;
    self.credit.insert(service.clone(), start);
  }

  /// Spends one retry and returns true, if one is left.
  pub fn spend(&mut self, service: &ServiceName) -> bool {
    let Some(credit) = self.credit.get_mut(service).filter(|credit| **credit >= 1_000) else {
      return false;
    };
    *credit -= 1_000;
    true
  }

  /// Whether at least two retries are left.
  pub fn has_spare(&self, service: &ServiceName) -> bool {
    self.credit.get(service).is_some_and(|credit| *credit >= 2_000)
  }

  /// Spends one retry on a hedged try, if at least two are left: retries of failures have
  /// precedence.
  pub fn spend_spare(&mut self, service: &ServiceName) -> bool {
    self.has_spare(service) && self.spend(service)
  }
}
