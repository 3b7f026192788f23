use super::*;

/// Bounds the retries of each service to a share of its requests.
///
/// A failure is retried only by the daemon that met it: what a backend server itself answers is
/// final for everyone above. So a chain of calls does not multiply retries.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
  /// Thousandths of a retry that each service may spend.
  credit: BTreeMap<ServiceName, u32>,
}

impl RetryBudget {
  /// Thousandths of a retry that one request earns.
  const EARNED: u32 = 100;
  /// Thousandths of a retry that a service can save up.
  const SAVED_MAX: u32 = 10_000;
  /// Thousandths of a retry that a service starts with.
  const START: u32 = 3_000;

  /// A first try was made.
  pub fn earn(&mut self, service: &ServiceName) {
    if let Some(credit) = self.credit.get_mut(service) {
      *credit = (*credit + Self::EARNED).min(Self::SAVED_MAX);
      return;
    }
    self.credit.insert(service.clone(), Self::START + Self::EARNED);
  }

  /// Takes one retry, where there is one left.
  pub fn spend(&mut self, service: &ServiceName) -> bool {
    let Some(credit) = self.credit.get_mut(service).filter(|credit| **credit >= 1_000) else {
      return false;
    };
    *credit -= 1_000;
    true
  }
}
