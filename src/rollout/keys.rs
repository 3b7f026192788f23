//! The keys of rollout records in the store.

use super::*;

/// The prefix of the keys of rollout records.
const RECORDS: &str = "mesh/rollouts/";

/// The key of a service's newest rollout record.
pub fn record(service: &ServiceName) -> Key {
  Key::of(&["mesh", "rollouts", &service.short()])
}

/// The service of a rollout record, or `None` for any other entry. Where the key holds the name
/// shortened, the record itself tells it.
pub fn service_of(key: &Key, value: &str) -> Option<ServiceName> {
  let name = key.as_str().strip_prefix(RECORDS)?;
  ServiceName::decoded(name).or_else(|| {
    let found: Record = serde_json::from_str(value).ok()?;
    Some(found.order.service).filter(|service| record(service) == *key)
  })
}
