use super::*;

/// What this box knows of a service's room for one rank, for operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoomRow {
  /// Requests of this rank that entered since the start of the daemon.
  pub admitted: u64,
  /// The part of the arriving requests of this rank that enters at present, in percent.
  pub admitted_percent: u32,
  /// What a request of this rank may expect; `None` where that is unknown.
  pub forecast: Option<RoomForecast>,
  /// The rank, 0 first.
  pub priority: u32,
  /// Requests of this rank that were refused before any try since the start of the daemon.
  pub refused: u64,
}
