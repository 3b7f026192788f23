use super::*;

/// The recent requests for a service by organisation, and which part of an organisation's requests
/// is admitted when not all are.
#[derive(Clone, Debug, Default)]
pub(super) struct OrganisationShares {
  /// Decayed numbers of requests, at most [`Self::ORGANISATIONS_MAX`].
  arrived: BTreeMap<OrganisationName, f64>,
  /// The last window's organisations, by what they ask for in multiples of their allowances, lowest
  /// first.
  ranking: Vec<Standing>,
  /// All requests that `arrived` held when `ranking` was made.
  total: f64,
}

/// An organisation in the ranking.
#[derive(Clone, Copy, Debug)]
struct Standing {
  allowance: f64,
  /// The allowances of this organisation and all after it.
  allowances_from_here: f64,
  arrived: f64,
  /// The requests of all organisations before it.
  arrived_before: f64,
}

impl OrganisationShares {
  /// Decay with each window. Slower than that of ranks, as a box sees few requests of one
  /// organisation.
  const DECAY: f64 = 0.97;
  /// Organisations that are told apart at one service. A box that gets a hundredth of the fleet's
  /// requests sees small organisations only now and then.
  const ORGANISATIONS_MAX: usize = 256;
  /// Organisations that are kept when there are too many: half, so that they are compared once for
  /// as many new ones.
  const ORGANISATIONS_KEPT: usize = Self::ORGANISATIONS_MAX / 2;
  /// Standard deviations that are allowed to each organisation above its entitlement, so that a
  /// small one isn't held back for a few requests that came together by chance.
  const DEVIATIONS: f64 = 2.0;

  /// Adds a request that arrived. If there are too many organisations, those that asked for least
  /// are dropped.
  pub fn add(&mut self, organisation: &OrganisationName) {
    if let Some(arrived) = self.arrived.get_mut(organisation) {
      *arrived += 1.0;
      return;
    }
    if self.arrived.len() >= Self::ORGANISATIONS_MAX {
      self.drop_least();
    }
    self.arrived.insert(organisation.clone(), 1.0);
  }

  fn drop_least(&mut self) {
    let mut all: Vec<_> = std::mem::take(&mut self.arrived).into_iter().collect();
    all.sort_by(|(_, one), (_, other)| other.total_cmp(one));
    all.truncate(Self::ORGANISATIONS_KEPT);
    self.arrived = all.into_iter().collect();
  }

  /// Begins a window: reduces the weight of all that arrived so far, and ranks the organisations.
  /// `entitlement_of` returns the share of the service to which an organisation is entitled.
  pub fn begin_window(&mut self, entitlement_of: impl Fn(&OrganisationName) -> f64) {
    const ARRIVED_MIN: f64 = 0.1;
    for arrived in self.arrived.values_mut() {
      *arrived *= Self::DECAY;
    }
    self.arrived.retain(|_, arrived| *arrived >= ARRIVED_MIN);
    self.total = self.arrived.values().sum();
    let total = self.total;
    let asked = self.arrived.iter();
    let asked =
      asked.map(|(name, arrived)| (*arrived, Self::allowance(entitlement_of(name), total)));
    self.ranking = Self::ranking(asked.collect());
  }

  /// Returns the requests that an organisation may send while `total` arrive.
  fn allowance(entitlement: f64, total: f64) -> f64 {
    let entitled = entitlement * total;
    entitled + Self::DEVIATIONS * entitled.sqrt() + 1.0
  }

  /// Sorts organisations by what each asks for in multiples of its allowance.
  fn ranking(mut asked: Vec<(f64, f64)>) -> Vec<Standing> {
    asked.sort_by(|one, other| (one.0 / one.1).total_cmp(&(other.0 / other.1)));
    let mut allowances_from_here: f64 = asked.iter().map(|(_, allowance)| allowance).sum();
    let mut arrived_before = 0.0;
    let standing = |(arrived, allowance): (f64, f64)| {
      let standing = Standing { allowance, allowances_from_here, arrived, arrived_before };
      allowances_from_here -= allowance;
      arrived_before += arrived;
      standing
    };
    asked.into_iter().map(standing).collect()
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
    let own = self.arrived.get(organisation).copied().filter(|_| part < 1.0);
    let Some(own) = own.filter(|_| !self.ranking.is_empty()) else {
      return part;
    };
    let allowance = Self::allowance(entitlement_of(organisation), self.total);
    let multiple = self.multiple_for(part * self.total);
    (multiple * allowance / own).clamp(DemandMix::FLOOR.min(part), 1.0)
  }

  /// Returns the multiple of their allowances to which organisations are held so that all together
  /// get `room`.
  fn multiple_for(&self, room: f64) -> f64 {
    let multiple = |one: &Standing| (room - one.arrived_before) / one.allowances_from_here;
    let gets_all = |one: &Standing| multiple(one) * one.allowance > one.arrived;
    let first_held = self.ranking.partition_point(gets_all);
    self.ranking.get(first_held).map_or(f64::INFINITY, multiple)
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
