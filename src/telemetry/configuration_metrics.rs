use super::metrics::registered;

use prometheus_client::{
  metrics::{counter::Counter, gauge::Gauge},
  registry::Registry,
};

/// The metrics of the configuration in force.
pub struct ConfigurationMetrics {
  /// When it was applied, in milliseconds since 1970.
  pub applied_unix_ms: Gauge,
  /// Its items that are left out, as they cannot be read.
  pub items_omitted: Gauge,
  /// Configurations of the store that were refused.
  pub refused: Counter,
  /// Its version.
  pub version: Gauge,
}

impl ConfigurationMetrics {
  /// Creates the metrics, all at zero, and adds them to the registry.
  pub(super) fn new(registry: &mut Registry) -> Self {
    Self {
      applied_unix_ms: registered(
        registry,
        "configuration_applied_unix_ms",
        "When the version in force was applied, in milliseconds since 1970",
      ),
      items_omitted: registered(
        registry,
        "configuration_items_omitted",
        "Items left out of the configuration in force, as they cannot be read",
      ),
      refused: registered(
        registry,
        "configurations_refused",
        "Configurations in the store that were not taken",
      ),
      version: registered(registry, "configuration_version", "The version in force"),
    }
  }
}
