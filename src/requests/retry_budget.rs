use super::*;

/// Bounds the retries of each service to a share of its requests.
///
/// A failure is retried only by the daemon that met it: what a backend server itself answers is
/// final for everyone above. So a chain of calls does not multiply retries.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
  /// Thousandths of a retry that each service may spend.
  credit: BTreeMap<ServiceName, u32>,
  limits: RetryLimits,
}

/// What a daemon may spend on retries of each service, in thousandths of a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryLimits {
  /// Earned with each request.
  pub earned: u32,
  /// Saved up at most, and had at the start.
  pub saved_max: u32,
}

impl Default for RetryLimits {
  fn default() -> Self {
    Self { earned: 100, saved_max: 10_000 }
  }
}

impl RetryLimits {
  /// The part of the fleet's ratio that daemons spend. The rest is for the calls that a repeated run
  /// makes itself, which count as repeats too.
  const RATIO_PART: f64 = 0.4;
  /// The part of the fleet's fixed allowance that daemons save up.
  const EXTRA_PART: f64 = 0.5;

  /// A daemon's share of what the fleet may spend, which holds without agreement: `ratio` retries for
  /// each request, and `extra` besides, among `daemons`.
  pub fn share(ratio: f64, extra: u64, daemons: usize) -> Self {
    #[allow(clippy::cast_precision_loss)]
    let extra = extra as f64 * Self::EXTRA_PART / daemons.max(1) as f64;
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let thousandths = |retries: f64| (retries * 1_000.0) as u32;
    // Less than one saved retry could never be spent.
    Self { earned: thousandths(ratio * Self::RATIO_PART), saved_max: thousandths(extra.max(1.0)) }
  }
}

impl RetryBudget {
  /// Thousandths of a retry that a service starts with at most.
  const START_MAX: u32 = 3_000;

  /// Sets what may be spent from now on.
  pub fn set_limits(&mut self, limits: RetryLimits) {
    self.limits = limits;
  }

  /// A first try was made.
  pub fn earn(&mut self, service: &ServiceName) {
    if let Some(credit) = self.credit.get_mut(service) {
      *credit = (*credit + self.limits.earned).min(self.limits.saved_max);
      return;
    }
    let start = Self::START_MAX.min(self.limits.saved_max) + self.limits.earned;
    self.credit.insert(service.clone(), start);
  }

  /// Takes one retry, where there is one left.
  pub fn spend(&mut self, service: &ServiceName) -> bool {
    let Some(credit) = self.credit.get_mut(service).filter(|credit| **credit >= 1_000) else {
      return false;
    };
    *credit -= 1_000;
    true
  }

  /// Whether a retry could be spent and one more be left.
  pub fn has_spare(&self, service: &ServiceName) -> bool {
    self.credit.get(service).is_some_and(|credit| *credit >= 2_000)
  }

  /// Takes one retry where one more is left, for a try that is not needed yet: failures go first.
  pub fn spend_spare(&mut self, service: &ServiceName) -> bool {
    self.has_spare(service) && self.spend(service)
  }
}
