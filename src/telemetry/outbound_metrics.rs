use super::{labels::BodyLabels, metrics::registered};

use prometheus_client::{
  metrics::{counter::Counter, family::Family, gauge::Gauge},
  registry::Registry,
};

/// The metrics of the large answers that a box sends over its network link.
pub struct OutboundMetrics {
  /// Requests refused because the link could not send their large answers in time.
  pub answers_refused: Counter,
  /// Numbers of large answers that are being sent and that wait for the link.
  bodies: Family<BodyLabels, Gauge>,
  /// Milliseconds that the link needs for all large answers that it owes.
  owed_ms: Gauge,
}

impl OutboundMetrics {
  /// Creates the metrics, all at zero, and adds them to the registry.
  pub(super) fn new(registry: &mut Registry) -> Self {
    Self {
      answers_refused: registered(
        registry,
        "answers_refused_for_link",
        "Requests refused because the box's link could not send their large answers in time",
      ),
      bodies: registered(
        registry,
        "outbound_bodies",
        "Large answers that are being sent over the box's link, and that wait for it",
      ),
      owed_ms: registered(
        registry,
        "outbound_owed_ms",
        "Milliseconds that the box's link needs for the large answers that it owes",
      ),
    }
  }

  /// Shows the large answers that are being sent and that wait, and the time that the link needs for
  /// them.
  #[allow(clippy::cast_possible_truncation)]
  pub fn show(&self, (under_way, waiting): (usize, usize), owed_ms: f64) {
    for (state, count) in [("under-way", under_way), ("waiting", waiting)] {
      let gauge = self.bodies.get_or_create(&BodyLabels { state });
      gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    }
    self.owed_ms.set(owed_ms as i64);
  }
}
