use super::*;

use super::store_bodies::Write;

/// The status of a rollout, written for the platform's operators.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct RolloutStatus<'a> {
  state: &'static str,
  target_version: &'a SoftwareVersion,
}

/// Longest key in bytes that the platform's store takes.
const KEY_BYTES_MAX: usize = 200;

/// Returns the operators' status to write in the same transaction as a rollout record, or `None`
/// for any other item.
pub(super) fn operator_status(key: &Key, value: &str) -> Option<Write> {
  let service = rollout::keys::service_of(key, value)?;
  let record: Record = serde_json::from_str(value).ok()?;
  let state = match record.stage {
    Stage::Completed => "completed",
    Stage::RolledBack { .. } => "rolled_back",
    Stage::Canary(_) | Stage::Full | Stage::Halted { .. } | Stage::Waiting => "running",
  };
  let status = RolloutStatus { state, target_version: &record.order.target };
  let key = Key::of(&["status", "rollout", service.as_str()]);
  // The operators' order has such a key too, so a service with too long a name has none.
  if key.as_str().len() > KEY_BYTES_MAX {
    return None;
  }
  Some(Write::new(&key, None, &to_json(&status)))
}
