use super::*;

/// Limits the concurrent requests of one backend server, and their rate where it named one, and
/// queues further ones.
///
/// It runs in the daemon beside the backend server, through which all its requests pass, so the
/// limit holds whichever daemons send.
#[derive(Clone, Debug)]
pub struct Limiter {
  /// Slots left free for calls of running requests.
  call_reserve: CallReserve,
  /// Moving average of the milliseconds for which a request holds a slot.
  hold_ms: f64,
  /// Spaces the requests; `None` without a rate limit.
  pacer: Option<Pacer>,
  /// Maximum queue length.
  queue_max: usize,
  /// Running requests with their class and start. Exceeds `slots` only after these were reduced.
  running: BTreeMap<Ticket, (CallerClass, Time)>,
  /// At least 1.
  slots: usize,
  /// By rank, the ratio of recent waits to expected ones, at least 1: later requests of a higher
  /// rank go first.
  wait_ratio: BTreeMap<u32, f64>,
  /// Queued requests. A ticket is either here or in `running`.
  waiting: Vec<Waiting>,
}

#[derive(Clone, Debug)]
struct Waiting {
  class: CallerClass,
  /// When its answer should be there.
  due: Time,
  /// Expected wait in milliseconds when it was queued, without later arrivals.
  expected_ms: u64,
  /// Whether a running request needs it.
  is_call: bool,
  /// Whether its caller returned after a refusal.
  is_return: bool,
  priority: u32,
  since: Time,
  ticket: Ticket,
}

impl Limiter {
  /// The fraction of a usual run that must be left until an answer is due for it to be in time.
  /// Half of the runs take less than about two thirds of a usual run.
  const IN_TIME_FRACTION: f64 = 0.5;
  /// Milliseconds after which queued requests are checked again while free slots are left for
  /// calls.
  const RESERVE_CHECK_MS: u64 = 50;
  /// Weight of the newest run in `hold_ms`.
  const HOLD_WEIGHT: f64 = 0.1;
  /// Weight of the newest wait in the ratio of its rank.
  const WAIT_RATIO_WEIGHT: f64 = 0.2;
  /// Decay of the ratio with each refusal, so that a request queues again and updates it.
  const WAIT_RATIO_DECAY: f64 = 0.95;
  /// Largest ratio: beyond it no request would ever be queued.
  const WAIT_RATIO_MAX: f64 = 20.0;

  /// Creates a limiter of `slots` concurrent and `queue_max` queued requests.
  pub fn new(slots: usize, queue_max: usize) -> Self {
    Self {
      call_reserve: CallReserve::default(),
      hold_ms: 1.0,
      pacer: None,
      queue_max,
      running: BTreeMap::new(),
      slots,
      wait_ratio: BTreeMap::new(),
      waiting: Vec::new(),
    }
  }

  /// Admits, queues or sheds a request that arrives.
  pub fn arrive(&mut self, now: Time, ticket: Ticket, demand: Demand) -> LimiterDecision {
    let is_behind = self.waiting.iter().any(|one| one.is_call || !demand.is_call);
    if self.has_room_for(now, demand.is_call) && !is_behind {
      let call_due_ms = demand.is_call.then(|| demand.due.since_ms(now));
      self.run(now, ticket, demand.class, call_due_ms);
      return LimiterDecision::Admitted;
    }
    let max_wait_ms = self.max_wait_ms(now, &demand);
    let ahead = self.waiting.iter().filter(|one| one.priority <= demand.priority).count();
    let expected_ms = self.wait_behind_ms(now, ahead);
    let wait_ms = self.corrected_wait_ms(demand.priority, expected_ms);
    if self.waiting.len() >= self.queue_max || wait_ms > max_wait_ms {
      // A request that may not wait would not have updated the ratio.
      if max_wait_ms > 0 {
        self.decay_wait_ratio(demand.priority);
      }
      return LimiterDecision::Shed { retry_after_ms: wait_ms.max(1) };
    }
    let Demand { class, due, elapsed_ms, is_call, priority, .. } = demand;
    let is_return = elapsed_ms > 0;
    let since = now;
    self.waiting.push(Waiting {
      class,
      due,
      expected_ms,
      is_call,
      is_return,
      priority,
      since,
      ticket,
    });
    LimiterDecision::Queued { max_wait_ms }
  }

  /// Milliseconds for which a request may queue. One that doesn't wait beyond its due time leaves
  /// the queue as soon as its answer can't be in time.
  fn max_wait_ms(&self, now: Time, demand: &Demand) -> u64 {
    let max_wait_ms = demand.wait_until.since_ms(now);
    if demand.wait_until > demand.due {
      return max_wait_ms;
    }
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let needed_ms = (self.hold_ms * Self::IN_TIME_FRACTION) as u64;
    max_wait_ms.min(demand.due.since_ms(now).saturating_sub(needed_ms))
  }

  /// Whether a request may run now.
  fn has_room(&self, now: Time) -> bool {
    self.running.len() < self.slots && !self.is_rate_reached(now)
  }

  /// Whether a request may run now. `is_call` tells that a running one needs it.
  fn has_room_for(&self, now: Time, is_call: bool) -> bool {
    self.has_room(now) && (is_call || !self.is_reserved(now))
  }

  /// Whether all free slots are left free for calls.
  fn is_reserved(&self, now: Time) -> bool {
    let free = self.slots.saturating_sub(self.running.len());
    free <= self.call_reserve.free_slots(now, self.slots)
  }

  /// Whether the rate limit of the backend server keeps requests from running now.
  pub fn is_rate_reached(&self, now: Time) -> bool {
    self.pacer.as_ref().is_some_and(|pacer| pacer.wait_ms(now, 0) > 0)
  }

  /// Gives a slot to a request. `call_due_ms` tells within how many milliseconds of its arrival the
  /// answer of a call is due.
  fn run(&mut self, now: Time, ticket: Ticket, class: CallerClass, call_due_ms: Option<u64>) {
    if let Some(due_ms) = call_due_ms {
      self.call_reserve.begin(now, ticket, due_ms, self.slots);
    }
    self.running.insert(ticket, (class, now));
    if let Some(pacer) = &mut self.pacer {
      pacer.pass(now);
    }
  }

  /// Milliseconds until a request that arrives now would get a slot.
  pub fn expected_wait_ms(&self, now: Time) -> u64 {
    self.wait_behind_ms(now, self.waiting.len())
  }

  fn wait_behind_ms(&self, now: Time, ahead: usize) -> u64 {
    let Some(pacer) = &self.pacer else {
      return self.wait_for_slot_ms(ahead);
    };
    let has_slot = self.running.len() + ahead < self.slots;
    let for_slot_ms = if has_slot { 0 } else { self.wait_for_slot_ms(ahead) };
    for_slot_ms.max(pacer.wait_ms(now, ahead))
  }

  fn wait_for_slot_ms(&self, ahead: usize) -> u64 {
    #[allow(clippy::cast_precision_loss)]
    let rounds = (ahead + 1) as f64 / self.slots as f64;
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let wait_ms = (rounds * self.hold_ms).ceil() as u64;
    wait_ms
  }

  #[allow(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
  fn corrected_wait_ms(&self, priority: u32, expected_ms: u64) -> u64 {
    let wait_ratio = self.wait_ratio.get(&priority).copied().unwrap_or(1.0);
    (expected_ms as f64 * wait_ratio).ceil() as u64
  }

  /// Updates the ratio of a rank with a request that got its slot or left the queue.
  #[allow(clippy::cast_precision_loss)]
  fn record_wait(&mut self, now: Time, waited: &Waiting) {
    let ratio = now.since_ms(waited.since) as f64 / waited.expected_ms.max(1) as f64;
    let wait_ratio = self.wait_ratio.entry(waited.priority).or_insert(1.0);
    *wait_ratio += Self::WAIT_RATIO_WEIGHT * (ratio - *wait_ratio);
    *wait_ratio = wait_ratio.clamp(1.0, Self::WAIT_RATIO_MAX);
  }

  fn decay_wait_ratio(&mut self, priority: u32) {
    if let Some(wait_ratio) = self.wait_ratio.get_mut(&priority) {
      *wait_ratio = (*wait_ratio * Self::WAIT_RATIO_DECAY).max(1.0);
    }
  }

  /// Excludes a pause of the process, in milliseconds, from the times of running and queued
  /// requests.
  pub fn exclude_pause(&mut self, for_ms: u64) {
    for (_, since) in self.running.values_mut() {
      *since = since.after(for_ms);
    }
    for one in &mut self.waiting {
      one.since = one.since.after(for_ms);
    }
  }

  /// Removes a request that ended or stopped waiting. Returns the requests that get a slot.
  pub fn leave(&mut self, now: Time, ticket: Ticket) -> Vec<Ticket> {
    if let Some((_, since)) = self.running.remove(&ticket) {
      #[allow(clippy::cast_precision_loss)]
      let held_ms = now.since_ms(since) as f64;
      self.hold_ms += Self::HOLD_WEIGHT * (held_ms - self.hold_ms);
      self.call_reserve.end(now, ticket, held_ms);
    }
    if let Some(index) = self.waiting.iter().position(|waiting| waiting.ticket == ticket) {
      let gave_up = self.waiting.swap_remove(index);
      self.record_wait(now, &gave_up);
      // One that was only asked whether it could run at once goes elsewhere.
      if gave_up.is_call && now > gave_up.since {
        self.call_reserve.miss(now);
      }
    }
    self.admit(now)
  }

  /// Gives slots to queued requests. Also called when [`Limiter::wake_at`] is reached.
  pub fn admit(&mut self, now: Time) -> Vec<Ticket> {
    let mut admitted = Vec::new();
    while self.has_room(now) {
      let Some(next) = self.next(now) else {
        break;
      };
      let waiting = self.waiting.swap_remove(next);
      self.record_wait(now, &waiting);
      let call_due_ms = waiting.is_call.then(|| waiting.due.since_ms(waiting.since));
      self.run(now, waiting.ticket, waiting.class, call_due_ms);
      admitted.push(waiting.ticket);
    }
    admitted
  }

  /// Returns the index of the next request: by rank, then the class with the fewest running
  /// requests, then requests that can still be in time, then those that came back, then the newest.
  /// Under overload some requests are late in any order, and newest first makes the fewest late.
  fn next(&self, now: Time) -> Option<usize> {
    let running_of =
      |class: &CallerClass| self.running.values().filter(|(running, _)| running == class).count();
    let order = |one: &Waiting| {
      let is_late = self.is_late(now, one.due);
      let newest = Reverse((one.since, one.ticket));
      (one.priority, running_of(&one.class), is_late, !one.is_return, newest)
    };
    let takes_others = self.has_room_for(now, false);
    let may_run = |index: &usize| takes_others || self.waiting[*index].is_call;
    (0..self.waiting.len()).filter(may_run).min_by_key(|index| order(&self.waiting[*index]))
  }

  /// Whether an answer that is due at `due` is unlikely to be in time.
  #[allow(clippy::cast_precision_loss)]
  fn is_late(&self, now: Time, due: Time) -> bool {
    (due.since_ms(now) as f64) < self.hold_ms * Self::IN_TIME_FRACTION
  }

  /// When to check again the queued requests that wait for the rate limit, or for slots that are
  /// left free for calls. `None` while none waits for these.
  pub fn wake_at(&self, now: Time) -> Option<Time> {
    if self.waiting.is_empty() || self.running.len() >= self.slots {
      return None;
    }
    let pace_ms = self.pacer.as_ref().map_or(0, |pacer| pacer.wait_ms(now, 0));
    let is_held = self.is_reserved(now) && !self.waiting.iter().any(|one| one.is_call);
    let check_ms = if is_held { Self::RESERVE_CHECK_MS } else { 0 };
    Some(now.after(pace_ms.max(check_ms)))
  }

  /// Running and queued requests in percent of the slots, or the load of the rate limit if that is
  /// higher.
  pub fn load_percent(&self, now: Time) -> u32 {
    let load = (self.running.len() + self.waiting.len()) * 100 / self.slots;
    let of_slots = u32::try_from(load).unwrap_or(u32::MAX);
    let of_rate = self.pacer.as_ref().map_or(0, |one| one.load_percent(now, self.waiting.len()));
    of_slots.max(of_rate)
  }

  /// Sets or removes the rate limit. Returns the requests that get a slot.
  pub fn set_rate(&mut self, now: Time, rate: Option<Rate>) -> Vec<Ticket> {
    match (&mut self.pacer, rate) {
      (Some(pacer), Some(rate)) => pacer.set_rate(now, rate),
      (pacer, rate) => *pacer = rate.map(|rate| Pacer::new(now, rate)),
    }
    self.admit(now)
  }

  /// Sets the maximum queue length.
  pub fn set_queue_max(&mut self, queue_max: usize) {
    self.queue_max = queue_max;
  }

  /// Sets the number of slots, at least 1. Returns the requests that get a slot.
  pub fn set_slots(&mut self, now: Time, slots: usize) -> Vec<Ticket> {
    self.slots = slots.max(1);
    self.admit(now)
  }

  /// Number of running requests.
  pub fn running(&self) -> usize {
    self.running.len()
  }

  /// Number of queued requests.
  pub fn waiting(&self) -> usize {
    self.waiting.len()
  }
}
