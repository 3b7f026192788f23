use super::*;

/// What a request that must run at most once brings along.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimTicket {
  /// Names this try at the claim and no other in the fleet.
  pub attempt: String,
  /// The digest of the request's method, path and body.
  pub content: Digest,
  /// The request's key.
  pub key: RequestKey,
  /// The service; the same key at another service is another key.
  pub service: ServiceName,
}

impl ClaimTicket {
  /// The store's key of the claim.
  pub fn store_key(&self) -> Key {
    Key::of(&["claims", self.service.as_str(), self.key.as_str()])
  }
}
