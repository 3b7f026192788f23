use super::*;

/// The recent demand for a service by kind of request, and how the admitted share of it is split
/// among the kinds.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandMix {
  kinds: BTreeMap<RequestKind, KindDemand>,
  /// What became of the requests of each rank.
  ranks: BTreeMap<u32, RankService>,
}

/// Requests that are admitted alike, in the order in which they get the room.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct RequestKind {
  /// The rank, 0 first.
  pub priority: u32,
  /// The order within the rank.
  pub turn: Turn,
}

/// The order of requests within a rank, first to last.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Turn {
  /// Its caller returns after a refusal and can still be in time. It has less time left than
  /// others.
  ReturnInTime,
  /// Its caller's first try.
  FirstTry,
  /// Its caller returns and can't be in time.
  LateReturn,
}

#[derive(Clone, Copy, Debug, Default)]
struct KindDemand {
  /// Admissions earned and not used, from 0 to 1. It spreads the admissions evenly over the
  /// arrivals without randomness.
  credit: f64,
  /// Decayed microseconds of work that arrived.
  work_us: f64,
}

/// The recent requests of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct RankService {
  /// Decayed number of first tries.
  asked: f64,
  /// Decayed number of admitted requests that found room at a backend server.
  served: f64,
}

impl RankService {
  /// First tries from which on the share of them that was served is taken for that of the rank.
  const ASKED_MIN: f64 = 4.0;
  /// Decay with each window, slower than that of the demand, as a box gets few requests of a rank.
  const DECAY: f64 = 0.95;

  /// Whether callers of this rank were served less often than its floor says.
  fn is_below_floor(self) -> bool {
    self.asked >= Self::ASKED_MIN && self.served < self.asked * DemandMix::FLOOR
  }
}

impl DemandMix {
  /// Share of each rank's callers that is admitted in any case, so that no rank is served less than
  /// a quarter as often as all.
  pub const FLOOR: f64 = 0.25;
  /// Least share of tries that is admitted in any case, however many of them are returns: that of
  /// callers that try four times.
  pub const TRY_FLOOR_MIN: f64 = Self::FLOOR / 4.0;
  /// Largest rank that is told apart; less urgent ones count as this one.
  const PRIORITY_MAX: u32 = 15;
  /// Decay of the demand with each window, so that the mix follows a burst within a second or two.
  const DECAY: f64 = 0.85;

  /// Returns the kind of a request. `may_be_in_time` tells that its answer can still be in time.
  pub fn kind_of(urgency: &Urgency, may_be_in_time: bool) -> RequestKind {
    let turn = match (urgency.elapsed_ms, may_be_in_time) {
      (0, _) => Turn::FirstTry,
      (_, true) => Turn::ReturnInTime,
      (_, false) => Turn::LateReturn,
    };
    RequestKind { priority: urgency.priority.min(Self::PRIORITY_MAX), turn }
  }

  /// Adds a request that arrived, of `work_us` microseconds.
  #[allow(clippy::cast_precision_loss)]
  pub fn add(&mut self, kind: RequestKind, work_us: u64) {
    self.kinds.entry(kind).or_default().work_us += work_us.max(1) as f64;
    if kind.turn == Turn::FirstTry {
      self.ranks.entry(kind.priority).or_default().asked += 1.0;
    }
  }

  /// Adds an admitted request of rank `priority` that found room.
  pub fn add_served(&mut self, priority: u32) {
    if let Some(rank) = self.ranks.get_mut(&priority.min(Self::PRIORITY_MAX)) {
      rank.served += 1.0;
    }
  }

  /// Reduces the weight of all that arrived so far.
  pub fn decay(&mut self) {
    for demand in self.kinds.values_mut() {
      demand.work_us *= Self::DECAY;
    }
    self.kinds.retain(|_, demand| demand.work_us >= 1.0);
    for rank in self.ranks.values_mut() {
      rank.asked *= RankService::DECAY;
      rank.served *= RankService::DECAY;
    }
  }

  /// Returns the part of a kind that is admitted if `share` of all work is: its floor, and of what
  /// is left above all floors as much as the kinds before it leave.
  pub fn admitted_part(&self, kind: RequestKind, share: f64) -> f64 {
    let own = self.work_us(kind);
    if own <= 0.0 {
      return 1.0;
    }
    let (mut left, mut floor) = (0.0, 0.0);
    for (other, demand) in &self.kinds {
      let other_floor = self.floor(*other);
      left += (share - other_floor) * demand.work_us;
      if *other < kind {
        left -= (1.0 - other_floor) * demand.work_us;
      }
      if *other == kind {
        floor = other_floor;
      }
    }
    floor + (left / own).clamp(0.0, 1.0 - floor)
  }

  /// Returns the part of a kind that is admitted in any case.
  ///
  /// The floor of a rank is of the work that callers ask for with their first tries. Their returns
  /// get it first, and first tries what these leave, for otherwise a caller that returns gets it
  /// twice, at the cost of the ranks before. Late returns get none of it.
  fn floor(&self, kind: RequestKind) -> f64 {
    let work_us = |turn: Turn| self.work_us(RequestKind { turn, ..kind });
    let (first_us, returns_us) = (work_us(Turn::FirstTry), work_us(Turn::ReturnInTime));
    let least_us = Self::TRY_FLOOR_MIN * (first_us + returns_us);
    let floor_us = (Self::FLOOR * first_us).max(least_us);
    let part = match kind.turn {
      Turn::ReturnInTime => floor_us / returns_us.max(1.0),
      Turn::FirstTry => (floor_us - returns_us) / first_us.max(1.0),
      Turn::LateReturn => 0.0,
    };
    part.clamp(0.0, 1.0)
  }

  fn work_us(&self, kind: RequestKind) -> f64 {
    self.kinds.get(&kind).map_or(0.0, |demand| demand.work_us)
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

  /// Returns the rank at backend servers of an admitted request of rank `priority`. If its rank was
  /// lately served less than its floor, that is the most urgent rank with demand: at its own rank,
  /// the request would wait behind all others, and mostly be refused.
  pub fn priority_at_backends(&self, priority: u32) -> u32 {
    let rank = self.ranks.get(&priority.min(Self::PRIORITY_MAX));
    let first = self.kinds.keys().next().map(|kind| kind.priority);
    let first = first.filter(|_| rank.is_some_and(|rank| rank.is_below_floor()));
    first.map_or(priority, |first| first.min(priority))
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
