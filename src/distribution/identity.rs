use super::*;

/// The identity of this daemon and the settings that it starts with.
#[derive(Clone, Debug)]
pub struct Identity {
  /// The daemon's own endpoint, as first announced.
  pub endpoint: Endpoint,
  /// Limits on the requests that a faulty new version of a service's software may receive.
  pub share_limits: ShareLimits,
  /// Some boxes of the fleet, as listed by the platform. The list may be outdated.
  pub seeds: Vec<Peer>,
  /// The periods of distribution.
  pub timing: Timing,
}
