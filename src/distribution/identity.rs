use super::*;

/// Who this daemon is and whom it knows from its settings.
#[derive(Clone, Debug)]
pub struct Identity {
  /// The daemon's own endpoint, as first announced.
  pub endpoint: Endpoint,
  /// What a new version of a service's software may receive that turns out bad.
  pub share_limits: ShareLimits,
  /// Some boxes of the fleet, as the platform listed them. May be old.
  pub seeds: Vec<Peer>,
  /// The periods.
  pub timing: Timing,
}
