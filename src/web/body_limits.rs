/// Limits on the size and duration of a body. The reader gives up a body that exceeds one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyLimits {
  /// Largest size in bytes.
  pub bytes_max: usize,
  /// Longest time in milliseconds without a byte.
  pub idle_timeout_ms: u64,
  /// Longest time in milliseconds for the whole body.
  pub total_timeout_ms: u64,
}
