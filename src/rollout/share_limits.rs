/// What a version that turns out bad may have received by then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareLimits {
  /// Requests besides the share.
  pub extra: u64,
  /// The share of all requests for its service while the order lasts.
  pub share: f64,
}

impl Default for ShareLimits {
  fn default() -> Self {
    Self { extra: 50, share: 0.1 }
  }
}
