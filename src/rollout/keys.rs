//! The store's keys that roll-outs use.

use super::*;

/// The key of the newest roll-out of a service.
pub fn record(service: &ServiceName) -> Key {
  Key::of(&["mesh", "rollouts", service.as_str()])
}

/// The service whose roll-out a key stands for.
pub fn service_of(key: &Key) -> Option<ServiceName> {
  key.as_str().strip_prefix("mesh/rollouts/")?.parse().ok()
}
