use super::*;

/// The recent requests for a service by organisation, and which part of an organisation's requests
/// is admitted when not all are.
#[derive(Clone, Debug, Default)]
pub(super) struct OrganisationShares {
  /// Decayed numbers of requests, at most [`Self::ORGANISATIONS_MAX`].
  arrived: BTreeMap<OrganisationName, f64>,
}

impl OrganisationShares {
  /// Decay with each window. Slower than that of ranks, as a box sees few requests of one
  /// organisation.
  const DECAY: f64 = 0.97;
  /// Organisations that are told apart at one service. A box that gets a hundredth of the fleet's
  /// requests sees small organisations only now and then.
  const ORGANISATIONS_MAX: usize = 128;
  /// Standard deviations that are allowed to each organisation above its entitlement, so that a
  /// small one isn't held back for a few requests that came together by chance.
  const DEVIATIONS: f64 = 2.0;

  /// Adds a request that arrived. If there are too many organisations, the one that asked for least
  /// is dropped.
  pub fn add(&mut self, organisation: &OrganisationName) {
    if let Some(arrived) = self.arrived.get_mut(organisation) {
      *arrived += 1.0;
      return;
    }
    if self.arrived.len() >= Self::ORGANISATIONS_MAX {
      let least = self.arrived.iter().min_by(|(_, one), (_, other)| one.total_cmp(other));
      if let Some(least) = least.map(|(name, _)| name.clone()) {
        self.arrived.remove(&least);
      }
    }
    self.arrived.insert(organisation.clone(), 1.0);
  }

  /// Reduces the weight of all that arrived so far.
  pub fn decay(&mut self) {
    const ARRIVED_MIN: f64 = 0.1;
    for arrived in self.arrived.values_mut() {
      *arrived *= Self::DECAY;
    }
    self.arrived.retain(|_, arrived| *arrived >= ARRIVED_MIN);
  }

  /// Returns the part of an organisation's requests that is admitted if `part` of all are, by
  /// weighted max-min fairness: organisations that ask for more than they get are held to the same
  /// multiple of their allowances, and others get what they ask for. `entitlement_of` returns the
  /// share of the service to which an organisation is entitled.
  pub fn admitted_part(
    &self,
    organisation: &OrganisationName,
    part: f64,
    entitlement_of: impl Fn(&OrganisationName) -> f64,
  ) -> f64 {
    let total: f64 = self.arrived.values().sum();
    let Some(own) = self.arrived.get(organisation).copied().filter(|_| part < 1.0) else {
      return part;
    };
    let allowance = |name: &OrganisationName| {
      let entitled = entitlement_of(name) * total;
      entitled + Self::DEVIATIONS * entitled.sqrt() + 1.0
    };
    let mut asked: Vec<(f64, f64)> =
      self.arrived.iter().map(|(name, arrived)| (*arrived, allowance(name))).collect();
    let multiple = Self::multiple_for(&mut asked, part * total);
    (multiple * allowance(organisation) / own).clamp(DemandMix::FLOOR.min(part), 1.0)
  }

  /// Returns the multiple of their allowances to which organisations are held so that all together
  /// get `room`. `asked` holds what each asks for and its allowance.
  fn multiple_for(asked: &mut [(f64, f64)], room: f64) -> f64 {
    asked.sort_by(|one, other| (one.0 / one.1).total_cmp(&(other.0 / other.1)));
    let mut allowances: f64 = asked.iter().map(|(_, allowance)| allowance).sum();
    let mut left = room;
    for (arrived, allowance) in asked.iter() {
      let multiple = left / allowances;
      if multiple * allowance <= *arrived {
        return multiple;
      }
      left -= arrived;
      allowances -= allowance;
    }
    f64::INFINITY
  }

  /// Returns the organisations that asked for most, with their part of the requests in percent.
  #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
  pub fn largest(&self, count: usize) -> Vec<(OrganisationName, u32)> {
    let total: f64 = self.arrived.values().sum();
    let mut all: Vec<(&OrganisationName, f64)> =
      self.arrived.iter().map(|(name, arrived)| (name, *arrived)).collect();
    all.sort_by(|(_, one), (_, other)| other.total_cmp(one));
    let percent = |arrived: f64| (arrived * 100.0 / total.max(1.0)).round() as u32;
    all.into_iter().take(count).map(|(name, arrived)| (name.clone(), percent(arrived))).collect()
  }
}
