use super::*;

/// Bounds what one backend server runs at once, and who waits for it.
///
/// It sits in the daemon beside the backend server, through which every request to it goes; so the
/// bound holds whichever daemons send.
#[derive(Clone, Debug)]
pub struct Limiter {
  /// A moving average of the milliseconds that a request holds a slot.
  hold_ms: f64,
  /// Longest queue.
  queue_max: usize,
  /// Running requests with their class and start. More than `slots` only after the slots shrank.
  running: BTreeMap<Ticket, (CallerClass, Time)>,
  /// At least 1.
  slots: usize,
  /// How many times longer than expected requests of each rank waited lately, for others of a higher
  /// rank came behind them and went first. At least 1.
  stretch: BTreeMap<u32, f64>,
  /// Waiting requests. A ticket waits or runs, never both.
  waiting: Vec<Waiting>,
}

#[derive(Clone, Debug)]
struct Waiting {
  class: CallerClass,
  /// When its answer should be there.
  due: Time,
  /// Milliseconds that it was expected to wait when it came, had nobody come behind it.
  expected_ms: u64,
  priority: u32,
  since: Time,
  ticket: Ticket,
}

impl Limiter {
  /// The part of a usual run that must be left until an answer is due, for it to be there in time. Half
  /// of the runs take less than about two thirds.
  const HURRIED_PART: f64 = 0.5;
  /// Weight of the newest hold in the average.
  const HOLD_WEIGHT: f64 = 0.1;

  /// Weight of the newest wait in the stretch of its rank.
  const STRETCH_WEIGHT: f64 = 0.2;
  /// What a refusal leaves of the stretch, so that some request waits again and shows how it is now.
  const STRETCH_KEPT: f64 = 0.95;
  /// Largest stretch: beyond it nobody would ever wait.
  const STRETCH_MAX: f64 = 20.0;

  /// A limiter of so many slots, at which `queue_max` requests may wait.
  pub fn new(slots: usize, queue_max: usize) -> Self {
    Self {
      hold_ms: 1.0,
      queue_max,
      running: BTreeMap::new(),
      slots,
      stretch: BTreeMap::new(),
      waiting: Vec::new(),
    }
  }

  /// A request arrives.
  pub fn arrive(&mut self, now: Time, ticket: Ticket, demand: Demand) -> LimiterDecision {
    if self.running.len() < self.slots && self.waiting.is_empty() {
      self.running.insert(ticket, (demand.class, now));
      return LimiterDecision::Admitted;
    }
    let patience_ms = self.patience_ms(now, &demand);
    let ahead = self.waiting.iter().filter(|one| one.priority <= demand.priority).count();
    let expected_ms = self.wait_behind_ms(ahead);
    let wait_ms = self.stretched_ms(demand.priority, expected_ms);
    if self.waiting.len() >= self.queue_max || wait_ms > patience_ms {
      // One that would not wait anyway says nothing of how long it would have been.
      if patience_ms > 0 {
        self.relax(demand.priority);
      }
      return LimiterDecision::Shed { retry_after_ms: wait_ms.max(1) };
    }
    let Demand { class, due, priority, .. } = demand;
    self.waiting.push(Waiting { class, due, expected_ms, priority, since: now, ticket });
    LimiterDecision::Queued { max_wait_ms: patience_ms }
  }

  /// Milliseconds for which a request may wait: as long as its answer can still be in time, where it
  /// waits for no longer than that.
  fn patience_ms(&self, now: Time, demand: &Demand) -> u64 {
    let patience_ms = demand.wait_until.since_ms(now);
    if demand.wait_until > demand.due {
      return patience_ms;
    }
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let hurried_ms = (self.hold_ms * Self::HURRIED_PART) as u64;
    patience_ms.min(demand.due.since_ms(now).saturating_sub(hurried_ms))
  }

  /// Milliseconds until a request that arrives now would have a slot.
  pub fn expected_wait_ms(&self) -> u64 {
    self.wait_behind_ms(self.waiting.len())
  }

  fn wait_behind_ms(&self, ahead: usize) -> u64 {
    #[allow(clippy::cast_precision_loss)]
    let rounds = (ahead + 1) as f64 / self.slots as f64;
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let wait_ms = (rounds * self.hold_ms).ceil() as u64;
    wait_ms
  }

  #[allow(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
  fn stretched_ms(&self, priority: u32, expected_ms: u64) -> u64 {
    let stretch = self.stretch.get(&priority).copied().unwrap_or(1.0);
    (expected_ms as f64 * stretch).ceil() as u64
  }

  /// A request that waited has its slot, or gave up.
  #[allow(clippy::cast_precision_loss)]
  fn note_wait(&mut self, now: Time, waited: &Waiting) {
    let ratio = now.since_ms(waited.since) as f64 / waited.expected_ms.max(1) as f64;
    let stretch = self.stretch.entry(waited.priority).or_insert(1.0);
    *stretch += Self::STRETCH_WEIGHT * (ratio - *stretch);
    *stretch = stretch.clamp(1.0, Self::STRETCH_MAX);
  }

  fn relax(&mut self, priority: u32) {
    if let Some(stretch) = self.stretch.get_mut(&priority) {
      *stretch = (*stretch * Self::STRETCH_KEPT).max(1.0);
    }
  }

  /// The process stood still for so long, which says nothing of how long requests run or wait.
  pub fn stood_still(&mut self, for_ms: u64) {
    for (_, since) in self.running.values_mut() {
      *since = since.after(for_ms);
    }
    for one in &mut self.waiting {
      one.since = one.since.after(for_ms);
    }
  }

  /// A request ended, or gave up waiting. Returns the requests that have a slot from now on.
  pub fn leave(&mut self, now: Time, ticket: Ticket) -> Vec<Ticket> {
    if let Some((_, since)) = self.running.remove(&ticket) {
      #[allow(clippy::cast_precision_loss)]
      let held_ms = now.since_ms(since) as f64;
      self.hold_ms += Self::HOLD_WEIGHT * (held_ms - self.hold_ms);
    }
    if let Some(index) = self.waiting.iter().position(|waiting| waiting.ticket == ticket) {
      let gave_up = self.waiting.swap_remove(index);
      self.note_wait(now, &gave_up);
    }
    self.admit(now)
  }

  fn admit(&mut self, now: Time) -> Vec<Ticket> {
    let mut admitted = Vec::new();
    while self.running.len() < self.slots {
      let Some(next) = self.next(now) else {
        break;
      };
      let waiting = self.waiting.swap_remove(next);
      self.note_wait(now, &waiting);
      self.running.insert(waiting.ticket, (waiting.class, now));
      admitted.push(waiting.ticket);
    }
    admitted
  }

  /// The highest rank goes first, and within it the class with the fewest running requests. Within that
  /// one those that can still be served in time, and of them the newest: under overload some are served
  /// late or not at all in any order, and this one makes the fewest late.
  fn next(&self, now: Time) -> Option<usize> {
    let running_of =
      |class: &CallerClass| self.running.values().filter(|(running, _)| running == class).count();
    let order = |one: &Waiting| {
      let is_late = self.is_late(now, one.due);
      (one.priority, running_of(&one.class), is_late, Reverse((one.since, one.ticket)))
    };
    (0..self.waiting.len()).min_by_key(|index| order(&self.waiting[*index]))
  }

  /// Whether an answer that is due at `due` can hardly be there in time.
  #[allow(clippy::cast_precision_loss)]
  fn is_late(&self, now: Time, due: Time) -> bool {
    (due.since_ms(now) as f64) < self.hold_ms * Self::HURRIED_PART
  }

  /// Running and waiting requests in percent of the slots.
  pub fn load_percent(&self) -> u32 {
    let load = (self.running.len() + self.waiting.len()) * 100 / self.slots;
    u32::try_from(load).unwrap_or(u32::MAX)
  }

  /// Sets how many requests may wait.
  pub fn set_queue_max(&mut self, queue_max: usize) {
    self.queue_max = queue_max;
  }

  /// Sets how many requests may run. Returns the requests that have a slot from now on.
  pub fn set_slots(&mut self, now: Time, slots: usize) -> Vec<Ticket> {
    self.slots = slots.max(1);
    self.admit(now)
  }

  /// Running requests.
  pub fn running(&self) -> usize {
    self.running.len()
  }

  /// Waiting requests.
  pub fn waiting(&self) -> usize {
    self.waiting.len()
  }
}
