use super::*;

/// How fast the peer of a request that holds a slot takes part: a caller that sends a body, or that reads an answer.
///
/// Only time in which the transfer waits for its peer counts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TransferProgress {
  /// Bytes that the peer sent or read in this window.
  bytes: u64,
  /// Since when the transfer waits for its peer; `None` while it waits for something else.
  since: Option<Time>,
  /// Milliseconds for which it waited for its peer in this window, before `since`.
  waited_ms: u64,
}

impl TransferProgress {
  /// Milliseconds of waiting within which a peer must send or read [`Self::WINDOW_BYTES`].
  const WINDOW_MS: u64 = 1_000;
  /// The least that keeps a slot: far less than a narrow link carries for one of many bodies.
  const WINDOW_BYTES: u64 = 16_384;

  /// Notes that the transfer waits for its peer.
  pub fn await_peer(&mut self, now: Time) {
    self.since.get_or_insert(now);
  }

  /// Notes that the peer has sent or read `bytes`, and that the transfer waits for something else.
  pub fn peer_moved(&mut self, now: Time, bytes: u64) {
    self.waited_ms = self.waited_ms(now);
    self.since = None;
    self.bytes += bytes;
    self.is_stalled(now);
  }

  /// Whether the peer has sent or read too little for too long. Begins a new window if it has not.
  pub fn is_stalled(&mut self, now: Time) -> bool {
    let is_over = self.waited_ms(now) >= Self::WINDOW_MS;
    let is_stalled = is_over && self.bytes < Self::WINDOW_BYTES;
    if is_over && !is_stalled {
      *self = Self { bytes: 0, since: self.since.map(|_| now), waited_ms: 0 };
    }
    is_stalled
  }

  /// Milliseconds for which the transfer waited for its peer in this window.
  fn waited_ms(&self, now: Time) -> u64 {
    self.waited_ms + self.since.map_or(0, |since| now.since_ms(since))
  }
}
