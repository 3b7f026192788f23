use super::*;

/// What this box knows of the room of each service, and decides by it on requests that enter.
#[derive(Clone, Debug, Default)]
pub struct Rooms {}

impl Rooms {
  /// Returns what a request of rank `priority` may expect of a service; `None` where this box does
  /// not know enough.
  pub fn forecast(
    &self,
    _now: Time,
    _service: &ServiceName,
    _priority: u32,
  ) -> Option<RoomForecast> {
    None
  }

  /// Decides whether a request is tried.
  pub fn decide(&mut self, _now: Time, _request: &EntryRequest) -> EntryDecision {
    EntryDecision::Admit
  }
}
