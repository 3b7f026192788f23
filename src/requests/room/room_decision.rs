use super::*;

/// Whether a caller's request is tried, by the room of its service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RoomDecision {
  /// It is tried.
  Admit {
    /// The rank that it has at backend servers, which is more urgent than its own if it was admitted
    /// only so that its rank gets some of the room.
    priority: u32,
  },
  /// It is refused before any try.
  Refuse(RoomRefusal),
}

impl RoomDecision {
  /// Returns whether the request is tried.
  pub fn is_admitted(&self) -> bool {
    matches!(self, Self::Admit { .. })
  }
}

/// Why a request gets no part of its service's room.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoomRefusal {
  /// Mean age in milliseconds of the reports behind the forecast.
  pub age_ms: u64,
  /// The part of such requests that is admitted at present, in percent.
  pub admitted_percent: u32,
  /// The forecast that it was decided on.
  pub forecast: RoomForecast,
  /// The share of the service's demand that this box admits, in percent.
  pub level_percent: u32,
  /// The rank of the request.
  pub priority: u32,
  /// Why.
  pub reason: &'static str,
  /// Milliseconds after which the caller should retry.
  pub retry_after_ms: u64,
  /// The service.
  pub service: ServiceName,
}

impl Display for RoomRefusal {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(
      f,
      "{}: {} has {} at rank {} (told {} ms ago); {}% of its demand enters here, {}% of such \
       requests",
      self.reason,
      self.service,
      self.forecast,
      self.priority,
      self.age_ms,
      self.level_percent,
      self.admitted_percent
    )
  }
}
