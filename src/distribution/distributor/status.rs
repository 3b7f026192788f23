use super::*;

/// The state of a daemon's own part in distribution.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
  /// Number of subscribers.
  pub downstream: usize,
  /// Number of links to other relays.
  pub mesh: usize,
  /// The known relays.
  pub relays: Relays,
  /// The relay slot that this box holds.
  pub slot: Option<String>,
  /// Milliseconds since the store last confirmed the held version.
  pub store_age_ms: Option<u64>,
  /// The store's newest version if it is older than the held one.
  pub store_behind: Option<Version>,
  /// The box that serves this one.
  pub upstream: Option<BoxId>,
  /// The version held.
  pub version: Option<Version>,
}

impl Distributor {
  /// The held configuration and its provenance.
  pub fn catalog(&self) -> &Catalog {
    &self.catalog
  }

  /// The newest known endpoint of every box.
  pub fn endpoints(&self) -> &EndpointTable {
    &self.endpoints
  }

  /// The daemon's own endpoint.
  pub fn own_endpoint(&self) -> &Endpoint {
    &self.own
  }

  /// The state of this daemon's part in distribution after the last event.
  pub fn status(&self) -> Status {
    let upstream = self.upstream.link().and_then(|link| self.links.get(&link));
    Status {
      downstream: self.established_links(LinkRole::Downstream).count(),
      mesh: self.established_links(LinkRole::Mesh).count(),
      relays: self.relays.clone(),
      slot: self.election.held().map(ToString::to_string),
      store_age_ms: self.store_age_ms(),
      store_behind: self.store_behind,
      upstream: upstream.map(|link| link.peer.clone()),
      version: self.catalog.version(),
    }
  }
}
