use super::*;

/// The newest known status of every box.
///
/// Merging is commutative and idempotent, so a status may arrive late, twice and over several paths.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
  entries: BTreeMap<BoxId, Endpoint>,
  /// The exclusive or of the entries' shares.
  fingerprint: u32,
  /// When a box was found to be gone, for its expiry.
  gone_since: BTreeMap<BoxId, Time>,
}

impl EndpointTable {
  /// Milliseconds for which a gone box is remembered, so that a late status doesn't revive it.
  pub const GONE_RETENTION_MS: u64 = 600_000;

  /// Removes boxes that have been gone for longer than [`Self::GONE_RETENTION_MS`]. Returns whether there were any.
  pub fn expire(&mut self, now: Time) -> bool {
    let old = |since: &Time| now.since_ms(*since) > Self::GONE_RETENTION_MS;
    let expired: Vec<BoxId> =
      self.gone_since.iter().filter(|(_, since)| old(since)).map(|(id, _)| id.clone()).collect();
    for box_id in &expired {
      self.gone_since.remove(box_id);
      self.entries.remove(box_id);
    }
    !expired.is_empty()
  }

  /// The fingerprint of the table. Equal tables have equal fingerprints; gone boxes don't count.
  pub fn fingerprint(&self) -> u32 {
    self.fingerprint
  }

  /// The newest known status of a box.
  pub fn get(&self, box_id: &BoxId) -> Option<&Endpoint> {
    self.entries.get(box_id)
  }

  /// All entries, by box.
  pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
    self.entries.values()
  }

  /// Entries of boxes that are not gone.
  pub fn present(&self) -> impl Iterator<Item = &Endpoint> {
    self.iter().filter(|endpoint| !endpoint.state.is_gone())
  }

  /// Merges `endpoint` if it is newer than the known status. Returns whether it was.
  pub fn merge(&mut self, now: Time, endpoint: Endpoint) -> bool {
    let box_id = endpoint.peer.box_id.clone();
    let known = self.entries.get(&box_id);
    if known.is_some_and(|known| !endpoint.is_newer_than(known)) {
      return false;
    }
    if known.is_none() && endpoint.state.is_gone() {
      return false;
    }
    self.fingerprint ^= known.map_or(0, Endpoint::share) ^ endpoint.share();
    if endpoint.state.is_gone() {
      self.gone_since.insert(box_id.clone(), now);
    } else {
      self.gone_since.remove(&box_id);
    }
    self.entries.insert(box_id, endpoint);
    true
  }
}
