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
  /// Running requests with their class and start. Never more than `slots`.
  running: BTreeMap<Ticket, (CallerClass, Time)>,
  slots: usize,
  /// Waiting requests. A ticket waits or runs, never both.
  waiting: Vec<Waiting>,
}

#[derive(Clone, Debug)]
struct Waiting {
  class: CallerClass,
  deadline: Time,
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
  pub fn arrive(
    &mut self,
    now: Time,
    ticket: Ticket,
    class: CallerClass,
    deadline: Time,
  ) -> Arrival {
    if self.running.len() < self.slots && self.waiting.is_empty() {
      self.running.insert(ticket, (class, now));
      return Arrival::Admitted;
    }
    let wait_ms = self.expected_wait_ms();
    if self.waiting.len() >= self.queue_max || now.after(wait_ms) > deadline {
      return Arrival::Shed { retry_after_ms: wait_ms.max(1) };
    }
    self.waiting.push(Waiting { class, deadline, ticket });
    Arrival::Queued
  }

  /// Milliseconds until a request that arrives now would have a slot.
  pub fn expected_wait_ms(&self) -> u64 {
    #[allow(clippy::cast_precision_loss)]
    let rounds = (self.waiting.len() + 1) as f64 / self.slots as f64;
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

  /// The class with the fewest running requests goes first, and within it the earliest deadline.
  fn next(&self) -> Option<usize> {
    let running_of =
      |class: &CallerClass| self.running.values().filter(|(running, _)| running == class).count();
    let order = |one: &Waiting| (running_of(&one.class), one.deadline, one.ticket);
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

  /// Running requests.
  pub fn running(&self) -> usize {
    self.running.len()
  }

  /// Waiting requests.
  pub fn waiting(&self) -> usize {
    self.waiting.len()
  }
}
