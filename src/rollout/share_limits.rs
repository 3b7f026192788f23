/// How many requests a version may have received when it turns out to be bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareLimits {
  /// Requests allowed in addition to the share.
  pub extra: u64,
  /// The allowed share of all requests for the service during the order.
  pub share: f64,
}

impl Default for ShareLimits {
  fn default() -> Self {
    Self { extra: 50, share: 0.1 }
  }
}
