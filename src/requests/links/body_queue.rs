use super::*;

/// Schedules the large request bodies that a box receives over its network link: few at a time,
/// while the others wait at their senders.
///
/// Each body being received fills a TCP window in front of the link. With ten at once, calls of a
/// hundred bytes waited for a quarter of a second behind them, and the requests that needed these
/// calls failed. With few at a time, bodies arrive just as soon, and small messages pass between
/// them.
#[derive(Clone, Debug)]
pub struct BodyQueue {
  bytes_max: u64,
  bytes_per_ms: f64,
  /// Bodies being received, with their bytes.
  receiving: BTreeMap<Ticket, u64>,
  /// Waiting bodies with their bytes, oldest first.
  waiting: VecDeque<(Ticket, u64)>,
}

impl BodyQueue {
  /// Link time, in milliseconds, that the bodies being received may need together: a small part of
  /// a call's timeout.
  const IN_FLIGHT_MAX_MS: f64 = 40.0;
  /// Bytes per millisecond in one megabit per second.
  const BYTES_PER_MS_OF_MBPS: f64 = 125.0;

  /// Creates the scheduler of a link of `link_mbps` megabits a second.
  pub fn new(link_mbps: f64) -> Self {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let bytes_max = (link_mbps * Self::BYTES_PER_MS_OF_MBPS * Self::IN_FLIGHT_MAX_MS) as u64;
    let bytes_per_ms = link_mbps * Self::BYTES_PER_MS_OF_MBPS;
    Self { bytes_max, bytes_per_ms, receiving: BTreeMap::new(), waiting: VecDeque::new() }
  }

  /// Adds a body of `bytes`. Returns whether it may be sent at once; otherwise it waits.
  pub fn arrive(&mut self, ticket: Ticket, bytes: u64) -> bool {
    let may_start = self.waiting.is_empty() && self.has_room(bytes);
    if may_start {
      self.receiving.insert(ticket, bytes);
    } else {
      self.waiting.push_back((ticket, bytes));
    }
    may_start
  }

  /// Removes a body that was received or given up. Returns those that may now be sent.
  pub fn leave(&mut self, ticket: Ticket) -> Vec<Ticket> {
    self.receiving.remove(&ticket);
    self.waiting.retain(|(waiting, _)| *waiting != ticket);
    let mut admitted = Vec::new();
    while let Some((next, bytes)) = self.waiting.front().copied().filter(|one| self.has_room(one.1))
    {
      self.waiting.pop_front();
      self.receiving.insert(next, bytes);
      admitted.push(next);
    }
    admitted
  }

  /// One body is always admitted, however large.
  fn has_room(&self, bytes: u64) -> bool {
    self.receiving.is_empty() || self.receiving.values().sum::<u64>() + bytes <= self.bytes_max
  }

  /// Returns the least milliseconds of link time that all bodies, received or waiting, need.
  pub fn backlog_ms(&self) -> f64 {
    let waiting: u64 = self.waiting.iter().map(|(_, bytes)| bytes).sum();
    let bytes = waiting + self.receiving.values().sum::<u64>();
    #[allow(clippy::cast_precision_loss)]
    let backlog_ms = bytes as f64 / self.bytes_per_ms;
    backlog_ms
  }
}
