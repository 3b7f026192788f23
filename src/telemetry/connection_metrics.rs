use super::{labels::EvictionLabels, labels::PeerLabels, metrics::registered};

use prometheus_client::{
  metrics::{counter::Counter, family::Family, gauge::Gauge},
  registry::Registry,
};

/// The metrics of the connections of all peers.
pub struct ConnectionMetrics {
  evicted: Family<EvictionLabels, Counter>,
  held_bytes: Gauge,
  open: Family<PeerLabels, Gauge>,
  /// Answers of which the rest is held here, as they stalled while others waited for their slots.
  pub transfers_held: Counter,
  /// Transfers that ended because they stalled while others waited for their slots.
  pub transfers_stopped: Counter,
}

impl ConnectionMetrics {
  /// Creates the metrics, all at zero, and adds them to the registry.
  pub(super) fn new(registry: &mut Registry) -> Self {
    Self {
      evicted: registered(
        registry,
        "connections_evicted",
        "Connections that ended for want of room, by kind of peer and what was short",
      ),
      held_bytes: registered(registry, "peers_held_bytes", "Bytes held for all peers"),
      open: registered(registry, "connections_open", "Open connections, by kind of peer"),
      transfers_held: registered(
        registry,
        "transfers_held",
        "Answers held for their readers because they stalled while others waited for their slots",
      ),
      transfers_stopped: registered(
        registry,
        "transfers_stopped",
        "Uploads and answers that ended because they stalled while others waited for their slots",
      ),
    }
  }

  /// Counts connections that ended for want of what `short` names.
  pub fn count_evicted(&self, peer: String, short: String, count: u64) {
    self.evicted.get_or_create(&EvictionLabels { peer, short }).inc_by(count);
  }

  /// Shows the bytes that are held for all peers.
  pub fn show_held(&self, bytes: usize) {
    self.held_bytes.set(i64::try_from(bytes).unwrap_or(i64::MAX));
  }

  /// Shows the open connections of a kind of peer.
  pub fn show_open(&self, peer: String, count: usize) {
    let gauge = self.open.get_or_create(&PeerLabels { peer });
    gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
  }
}
