/// What a request may expect that asks a service for a slot now, as this box knows the service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoomForecast {
  /// Free slots in percent of all, by the speed of their backend servers.
  pub free_percent: u32,
  /// Milliseconds until a slot is expected to be free for a request of this rank; 0 where one is
  /// free now.
  pub wait_ms: u64,
}
