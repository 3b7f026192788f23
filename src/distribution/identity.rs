use super::*;

/// Who this daemon is and whom it knows from its settings.
#[derive(Clone, Debug)]
pub struct Identity {
  /// The daemon's own endpoint, as first announced.
  pub endpoint: Endpoint,
  /// Some boxes of the fleet, as the platform listed them. May be old.
  pub seeds: Vec<Peer>,
  /// The periods.
  pub timing: Timing,
}
