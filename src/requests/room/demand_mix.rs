use super::*;

/// The recent demand for a service by kind of request, and how the admitted share of it is split
/// among the kinds.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandMix {
  kinds: BTreeMap<RequestKind, KindDemand>,
}

/// Requests that are admitted alike, in the order in which they get the room.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct RequestKind {
  /// The rank, 0 first.
  pub priority: u32,
  /// False for requests whose callers return after a refusal and can still be in time. They go
  /// first, as they have less time left.
  pub is_fresh: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct KindDemand {
  /// Admissions earned and not used, from 0 to 1. It spreads the admissions evenly over the
  /// arrivals without randomness.
  credit: f64,
  /// Decayed microseconds of work that arrived.
  work_us: f64,
}

impl DemandMix {
  /// Share of each kind that is admitted in any case, so that no kind is served less than a quarter
  /// as often as all.
  pub const FLOOR: f64 = 0.25;
  /// Largest rank that is told apart; less urgent ones count as this one.
  const PRIORITY_MAX: u32 = 15;
  /// Decay of the demand with each window, so that the mix follows a burst within a second or two.
  const DECAY: f64 = 0.85;

  /// Returns the kind of a request. `may_be_in_time` tells that its answer can still be in time.
  pub fn kind_of(urgency: &Urgency, may_be_in_time: bool) -> RequestKind {
    RequestKind {
      priority: urgency.priority.min(Self::PRIORITY_MAX),
      is_fresh: urgency.elapsed_ms == 0 || !may_be_in_time,
    }
  }

  /// Adds a request that arrived, of `work_us` microseconds.
  #[allow(clippy::cast_precision_loss)]
  pub fn add(&mut self, kind: RequestKind, work_us: u64) {
    self.kinds.entry(kind).or_default().work_us += work_us.max(1) as f64;
  }

  /// Reduces the weight of all that arrived so far.
  pub fn decay(&mut self) {
    for demand in self.kinds.values_mut() {
      demand.work_us *= Self::DECAY;
    }
    self.kinds.retain(|_, demand| demand.work_us >= 1.0);
  }

  /// Returns the part of a kind that is admitted if `share` of all work is: its floor, and of what
  /// is left above all floors as much as the kinds before it leave.
  pub fn admitted_part(&self, kind: RequestKind, share: f64) -> f64 {
    let total: f64 = self.kinds.values().map(|demand| demand.work_us).sum();
    let own = self.kinds.get(&kind).map_or(0.0, |demand| demand.work_us);
    if own <= 0.0 {
      return 1.0;
    }
    let above_floor = 1.0 - Self::FLOOR;
    let before: f64 = self.kinds.range(..kind).map(|(_, demand)| demand.work_us).sum();
    let left = (share - Self::FLOOR).max(0.0) * total - before * above_floor;
    Self::FLOOR + left.clamp(0.0, own * above_floor) / own
  }

  /// Adds the part of an admission that a request earns to its kind's credit. Returns whether the
  /// request is admitted, which costs one admission.
  pub fn spend(&mut self, kind: RequestKind, part: f64) -> bool {
    let demand = self.kinds.entry(kind).or_default();
    demand.credit += part;
    let is_admitted = demand.credit >= 1.0;
    if is_admitted {
      demand.credit -= 1.0;
    }
    is_admitted
  }

  /// Returns the unused admissions of a kind, from 0 to 1.
  pub fn credit(&self, kind: RequestKind) -> f64 {
    self.kinds.get(&kind).map_or(0.0, |demand| demand.credit)
  }

  /// Returns the share of the work that is of rank `priority` or more urgent.
  pub fn share_up_to(&self, priority: u32) -> f64 {
    let total: f64 = self.kinds.values().map(|demand| demand.work_us).sum();
    let is_before = |kind: &RequestKind| kind.priority <= priority.min(Self::PRIORITY_MAX);
    let before = self.kinds.iter().filter(|(kind, _)| is_before(kind));
    let before: f64 = before.map(|(_, demand)| demand.work_us).sum();
    if total > 0.0 { before / total } else { 1.0 }
  }

  /// Returns the ranks that arrived lately.
  pub fn priorities(&self) -> BTreeSet<u32> {
    self.kinds.keys().map(|kind| kind.priority).collect()
  }
}
