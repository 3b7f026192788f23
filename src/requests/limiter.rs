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
  /// Waiting requests. A ticket waits or runs, never both.
  waiting: Vec<Waiting>,
}

#[derive(Clone, Debug)]
struct Waiting {
  class: CallerClass,
  /// When its answer should be there.
  due: Time,
  priority: u32,
  ticket: Ticket,
}

impl Limiter {
  /// Weight of the newest hold in the average.
  const HOLD_WEIGHT: f64 = 0.1;

  /// A limiter of so many slots, at which `queue_max` requests may wait.
  pub fn new(slots: usize, queue_max: usize) -> Self {
    Self { hold_ms: 1.0, queue_max, running: BTreeMap::new(), slots, waiting: Vec::new() }
  }

  /// A request arrives.
  pub fn arrive(&mut self, now: Time, ticket: Ticket, demand: Demand) -> Arrival {
    if self.running.len() < self.slots && self.waiting.is_empty() {
      self.running.insert(ticket, (demand.class, now));
      return Arrival::Admitted;
    }
    let patience_ms = demand.patience.since_ms(now);
    let ahead = self.waiting.iter().filter(|one| one.priority <= demand.priority).count();
    let wait_ms = self.wait_behind_ms(ahead);
    if self.waiting.len() >= self.queue_max || wait_ms > patience_ms {
      return Arrival::Shed { retry_after_ms: wait_ms.max(1) };
    }
    let Demand { class, due, priority, .. } = demand;
    self.waiting.push(Waiting { class, due, priority, ticket });
    Arrival::Queued { patience_ms }
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

  /// A request ended, or gave up waiting. Returns the requests that have a slot from now on.
  pub fn leave(&mut self, now: Time, ticket: Ticket) -> Vec<Ticket> {
    if let Some((_, since)) = self.running.remove(&ticket) {
      #[allow(clippy::cast_precision_loss)]
      let held_ms = now.since_ms(since) as f64;
      self.hold_ms += Self::HOLD_WEIGHT * (held_ms - self.hold_ms);
    }
    self.waiting.retain(|waiting| waiting.ticket != ticket);
    self.admit(now)
  }

  fn admit(&mut self, now: Time) -> Vec<Ticket> {
    let mut admitted = Vec::new();
    while self.running.len() < self.slots {
      let Some(next) = self.next() else {
        break;
      };
      let waiting = self.waiting.swap_remove(next);
      self.running.insert(waiting.ticket, (waiting.class, now));
      admitted.push(waiting.ticket);
    }
    admitted
  }

  /// The highest rank goes first, within it the class with the fewest running requests, and within
  /// that one whose answer is due first.
  fn next(&self) -> Option<usize> {
    let running_of =
      |class: &CallerClass| self.running.values().filter(|(running, _)| running == class).count();
    let order = |one: &Waiting| (one.priority, running_of(&one.class), one.due, one.ticket);
    (0..self.waiting.len()).min_by_key(|index| order(&self.waiting[*index]))
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
