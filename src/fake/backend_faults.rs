use super::*;

/// The faults that a fake backend server can inject.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFaults {
  /// Cut off every answer in the middle of its body.
  pub cut: bool,
  /// Milliseconds by which every answer is delayed.
  pub delay_ms: u64,
  /// Report at the health endpoint that the backend server is draining.
  pub draining: bool,
  /// Run every request and never answer.
  pub hang: bool,
  /// Name this rate limit in every answer, in requests a second.
  pub limit_per_s: Option<f64>,
  /// Answer every request with this status.
  pub status: Option<u16>,
}
