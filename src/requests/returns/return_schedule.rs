use super::*;

/// When refused callers of one service return to this box, so that what returns fits the room that
/// is expected then.
#[derive(Clone, Debug)]
pub(super) struct ReturnSchedule {
  /// The first bucket of `reserved_us`, counted from `Time(0)`.
  first: u64,
  /// Work of first tries, by rank.
  fresh: BTreeMap<u32, WorkTrend>,
  /// Work that the service did for this box. Callers are refused while the service is full, so this
  /// is the room that it has for this box.
  served: WorkTrend,
  /// Microseconds of work that returns in each bucket, by rank; at most [`Self::BUCKETS_MAX`].
  reserved_us: VecDeque<BTreeMap<u32, u64>>,
}

impl ReturnSchedule {
  /// Length of a bucket in milliseconds: the accuracy of timers and links.
  const BUCKET_MS: u64 = 50;
  /// Buckets ahead: as long as most callers wait for an interactive answer.
  const BUCKETS_MAX: u64 = 64;
  /// Largest rank that is told apart; less urgent ones count as this one.
  const PRIORITY_MAX: u32 = 15;

  pub fn new(now: Time) -> Self {
    Self {
      first: now.0 / Self::BUCKET_MS,
      fresh: BTreeMap::new(),
      served: WorkTrend::new(now),
      reserved_us: VecDeque::new(),
    }
  }

  /// Records a caller's first try.
  pub fn note_first_try(&mut self, now: Time, priority: u32, work_us: u64) {
    let rank = priority.min(Self::PRIORITY_MAX);
    self.fresh.entry(rank).or_insert_with(|| WorkTrend::new(now)).add(now, work_us);
  }

  /// Records work that was done.
  pub fn note_served(&mut self, now: Time, work_us: u64) {
    self.served.add(now, work_us);
  }

  /// Returns when a caller should come back, and keeps the room for it; `None` while the room is
  /// unknown.
  pub fn plan(&mut self, now: Time, caller: &RefusedCaller, at: f64) -> Option<ReturnPlan> {
    self.advance(now);
    let room = self.served.rate(now).filter(|room| *room > 0.0)?;
    Some(self.plan_within(room, now, caller, at))
  }

  fn plan_within(&mut self, room: f64, now: Time, caller: &RefusedCaller, at: f64) -> ReturnPlan {
    let left_ms = caller.time.left_ms;
    let latest_return_ms = ReturnTime::latest_ms(left_ms).max(1);
    let fresh: Vec<(u32, WorkForecast)> =
      self.fresh.iter_mut().map(|(rank, trend)| (*rank, trend.forecast(now))).collect();
    // Those that wait now run first.
    let begin_ms = caller.time.wait_ms.unwrap_or_default().min(latest_return_ms);
    let latest_start_ms = left_ms.saturating_sub(caller.work_us / 1_000);
    let buckets = begin_ms / Self::BUCKET_MS + 1..Self::BUCKETS_MAX;
    let mut buckets = buckets.take_while(|index| index * Self::BUCKET_MS <= latest_start_ms);
    let Some(index) = buckets.find(|index| self.has_room(*index, caller, room, &fresh)) else {
      // What is further ahead than the last bucket is unknown.
      return if latest_start_ms >= Self::BUCKETS_MAX * Self::BUCKET_MS {
        ReturnPlan::BeforeRoom { after_ms: latest_return_ms }
      } else {
        ReturnPlan::NoRoom { after_ms: left_ms + Self::BUCKET_MS }
      };
    };
    let end_ms = index * Self::BUCKET_MS;
    if end_ms > latest_return_ms {
      return ReturnPlan::BeforeRoom { after_ms: latest_return_ms };
    }
    self.reserve(index, caller);
    let after_ms = end_ms - urgency::fraction_of(Self::BUCKET_MS, at);
    ReturnPlan::WithRoom { after_ms: after_ms.max(1) }
  }

  /// Whether a caller finds room in a bucket. One that can be in time goes before first tries of
  /// its rank; an overdue one gets only what all others leave.
  #[allow(clippy::cast_precision_loss)]
  fn has_room(
    &self,
    index: u64,
    caller: &RefusedCaller,
    room: f64,
    fresh: &[(u32, WorkForecast)],
  ) -> bool {
    let after_ms = index * Self::BUCKET_MS;
    let rank = caller.priority.min(Self::PRIORITY_MAX);
    let is_overdue = caller.is_overdue_in(after_ms);
    let before = fresh.iter().filter(|(other, _)| is_overdue || *other < rank);
    let before: f64 = before.map(|(_, forecast)| forecast.after(after_ms)).sum();
    let told = usize::try_from(index).ok().and_then(|index| self.reserved_us.get(index));
    let told = told.into_iter().flatten().filter(|(other, _)| is_overdue || **other <= rank);
    let told: u64 = told.map(|(_, work_us)| *work_us).sum();
    let left_us = (room - before) * Self::BUCKET_MS as f64 - told as f64;
    // At least half of it fits: work is rounded to buckets.
    left_us * 2.0 >= caller.work_us as f64
  }

  fn reserve(&mut self, index: u64, caller: &RefusedCaller) {
    let index = usize::try_from(index).unwrap_or_default();
    while self.reserved_us.len() <= index {
      self.reserved_us.push_back(BTreeMap::new());
    }
    let rank = caller.priority.min(Self::PRIORITY_MAX);
    *self.reserved_us[index].entry(rank).or_default() += caller.work_us;
  }

  /// Forgets buckets that are over.
  fn advance(&mut self, now: Time) {
    let current = now.0 / Self::BUCKET_MS;
    let passed = usize::try_from(current.saturating_sub(self.first)).unwrap_or(usize::MAX);
    self.reserved_us.drain(..passed.min(self.reserved_us.len()));
    self.first = self.first.max(current);
  }
}
