/// What a body may come to before its reader gives it up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyLimits {
  /// Largest size in bytes.
  pub bytes_max: usize,
  /// Milliseconds for which it may stand still.
  pub silent_ms: u64,
  /// Milliseconds that it may take in all.
  pub whole_ms: u64,
}
