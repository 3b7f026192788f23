use super::*;

/// What a request that asks a service for a slot now may expect, as far as this box knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoomForecast {
  /// Free slots in percent of all, by the speed of their backend servers.
  pub free_percent: u32,
  /// Milliseconds until a slot is expected to be free for a request of this rank; 0 where one is
  /// free now.
  pub wait_ms: u64,
}

impl RoomForecast {
  /// Free slots in percent below which the next backend server is likely to be full.
  const FULL_PERCENT: u32 = 3;

  /// Whether a request is unlikely to find a free slot.
  pub fn is_full(&self) -> bool {
    self.free_percent < Self::FULL_PERCENT
  }
}

impl Display for RoomForecast {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(f, "{}% of its slots free, {} ms to wait", self.free_percent, self.wait_ms)
  }
}
