use super::*;

/// Identifies one attempt to claim a request that must run at most once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimTicket {
  /// Identifier of this attempt, unique in the fleet.
  pub attempt: String,
  /// The digest of the request's method, path and body.
  pub content: Digest,
  /// The request's idempotency key.
  pub key: RequestKey,
  /// The service. The same key at another service is a different key.
  pub service: ServiceName,
}

impl ClaimTicket {
  /// Returns the store key of the claim's record.
  pub fn store_key(&self) -> Key {
    Key::of(&["claims", &self.service.short(), self.key.as_str()])
  }
}
