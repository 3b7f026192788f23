//! What the daemon tells of the connections of its peers.

use super::*;

impl Shared {
  /// Milliseconds between two reports on connections.
  const CONNECTIONS_REPORT_MS: u64 = 1_000;
  /// Bytes that must have come free for them to be given back.
  const GIVEN_BACK_BYTES_MIN: usize = 4 << 20;

  /// Updates the metrics of connections, and logs those that ended for want of room, at most once a second.
  pub(super) fn report_connections(&self) {
    let now = self.now().time;
    if now.since_ms(self.connections_reported_at.get()) < Self::CONNECTIONS_REPORT_MS {
      return;
    }
    self.connections_reported_at.set(now);
    let metrics = &self.metrics.connections;
    let held_bytes = self.connections.held_bytes();
    metrics.show_held(held_bytes);
    self.give_memory_back(held_bytes);
    for kind in PeerKind::ALL {
      metrics.show_open(kind.to_string(), self.connections.open_count(kind));
    }
    self.log_evictions(held_bytes);
  }

  /// Gives free memory back to the machine once much less is held for peers than before: the allocator keeps it as long
  /// as a small piece behind it is in use.
  fn give_memory_back(&self, held_bytes: usize) {
    let peak_bytes = self.held_peak_bytes.get().max(held_bytes);
    if peak_bytes - held_bytes >= Self::GIVEN_BACK_BYTES_MIN {
      ferryyoke_heap::trim();
      self.held_peak_bytes.set(held_bytes);
    } else {
      self.held_peak_bytes.set(peak_bytes);
    }
  }

  /// Counts and logs connections that ended for want of room.
  fn log_evictions(&self, held_bytes: usize) {
    let metrics = &self.metrics.connections;
    for ((kind, eviction), count) in self.connections.take_evictions() {
      metrics.count_evicted(kind.to_string(), eviction.to_string(), count);
      warn!(
        self.log.logger, "connections ended for want of room";
        "peers" => %kind, "short" => %eviction, "ended" => count, "held_bytes" => held_bytes,
        "open" => self.connections.open_count(kind)
      );
    }
  }
}
