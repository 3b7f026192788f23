//! The keys of rollout records in the store.

use super::*;

/// The key of a service's newest rollout record.
pub fn record(service: &ServiceName) -> Key {
  Key::of(&["mesh", "rollouts", service.as_str()])
}

/// The service of a rollout record's key, or `None` for any other key.
pub fn service_of(key: &Key) -> Option<ServiceName> {
  key.as_str().strip_prefix("mesh/rollouts/")?.parse().ok()
}
