use super::*;

use super::translation::translate;

/// Reads the configuration that the platform's operators write to its store.
#[derive(Debug, Default)]
pub struct OperatorSource;

/// The prefix of evacuation keys. While such a key exists, the data hall that it names is
/// evacuated.
const EVACUATIONS: &str = "op/evacuate/";

/// The prefix of the operators' rollout orders, one per service.
const ORDERS: &str = "op/rollout/";

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RolloutOrder {
  #[serde(deserialize_with = "duration_ms")]
  duration: u64,
  service: ServiceName,
  target_version: SoftwareVersion,
}

impl Source for OperatorSource {
  fn key(&self) -> Key {
    Key::of(&["op", "config"])
  }

  fn evacuated_hall(&self, key: &Key) -> Option<DataHall> {
    named_by(key, EVACUATIONS)
  }

  fn ordered_service(&self, key: &Key) -> Option<ServiceName> {
    named_by(key, ORDERS)
  }

  fn prefix(&self) -> Key {
    Key::of(&["op", ""])
  }

  fn read_order(&self, value: &str) -> Result<Order, String> {
    let read: RolloutOrder = serde_json::from_str(value).map_err(|err| err.to_string())?;
    let RolloutOrder { duration: duration_ms, service, target_version: target } = read;
    Ok(Order { duration_ms, service, target })
  }

  fn read(&self, value: &str) -> Result<Configuration, ParseError> {
    let fields = Fields::of(value).map_err(ParseError::unknown_version)?;
    let version = fields.get("Version").map(Version).map_err(ParseError::unknown_version)?;
    translate(version, &fields).map_err(|reason| ParseError { reason, version: Some(version) })
  }
}

/// Returns what a key under `prefix` names.
fn named_by<T: GivenName>(key: &Key, prefix: &str) -> Option<T> {
  key.as_str().strip_prefix(prefix).filter(|name| !name.is_empty()).map(T::from)
}
