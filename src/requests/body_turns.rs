use super::*;

/// In which order large bodies come over a box's network link: few at a time, the others wait at their senders.
///
/// Bodies that come all at once each keep a window of bytes in front of the link. With ten of them, calls of a
/// hundred bytes waited for a quarter of a second behind them, and the requests that needed these calls failed. One
/// after the other, bodies are in as soon, and what is small passes between them.
#[derive(Clone, Debug)]
pub struct BodyTurns {
  bytes_max: u64,
  bytes_per_ms: f64,
  /// Bodies that come, with their bytes.
  coming: BTreeMap<Ticket, u64>,
  /// Bodies that wait, oldest first.
  waiting: VecDeque<(Ticket, u64)>,
}

impl BodyTurns {
  /// Milliseconds of the link that bodies may fill at once: a small part of what calls are given.
  const AT_ONCE_MS: f64 = 40.0;
  /// Bytes a millisecond of a megabit a second.
  const BYTES_PER_MS_OF_MBPS: f64 = 125.0;

  /// The turns of a link of so many megabits a second.
  pub fn new(link_mbps: f64) -> Self {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let bytes_max = (link_mbps * Self::BYTES_PER_MS_OF_MBPS * Self::AT_ONCE_MS) as u64;
    let bytes_per_ms = link_mbps * Self::BYTES_PER_MS_OF_MBPS;
    Self { bytes_max, bytes_per_ms, coming: BTreeMap::new(), waiting: VecDeque::new() }
  }

  /// A body of so many bytes is to come. Returns whether it may at once; otherwise it waits for its turn.
  pub fn arrive(&mut self, ticket: Ticket, bytes: u64) -> bool {
    let may_come = self.waiting.is_empty() && self.has_room(bytes);
    if may_come {
      self.coming.insert(ticket, bytes);
    } else {
      self.waiting.push_back((ticket, bytes));
    }
    may_come
  }

  /// A body is in, or will not come. Returns those whose turn it is now.
  pub fn leave(&mut self, ticket: Ticket) -> Vec<Ticket> {
    self.coming.remove(&ticket);
    self.waiting.retain(|(waiting, _)| *waiting != ticket);
    let mut admitted = Vec::new();
    while let Some((next, bytes)) = self.waiting.front().copied().filter(|one| self.has_room(one.1))
    {
      self.waiting.pop_front();
      self.coming.insert(next, bytes);
      admitted.push(next);
    }
    admitted
  }

  /// One body may always come, however large.
  fn has_room(&self, bytes: u64) -> bool {
    self.coming.is_empty() || self.coming.values().sum::<u64>() + bytes <= self.bytes_max
  }

  /// Milliseconds that the link needs at least for the bodies that come and that wait.
  pub fn backlog_ms(&self) -> f64 {
    let waiting: u64 = self.waiting.iter().map(|(_, bytes)| bytes).sum();
    let bytes = waiting + self.coming.values().sum::<u64>();
    #[allow(clippy::cast_precision_loss)]
    let backlog_ms = bytes as f64 / self.bytes_per_ms;
    backlog_ms
  }
}
