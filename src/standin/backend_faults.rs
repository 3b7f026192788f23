use super::*;

/// The faults that a stand-in backend server shows on command.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFaults {
  /// Cut every answer off after half of its body.
  pub cut: bool,
  /// Milliseconds that every request takes.
  pub delay_ms: u64,
  /// Answer the health endpoint with draining.
  pub draining: bool,
  /// Run every request and never answer.
  pub hang: bool,
  /// Answer every request with this status.
  pub status: Option<u16>,
}
