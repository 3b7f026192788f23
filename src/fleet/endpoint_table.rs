use super::*;

/// The newest news about every box, in the order that incarnations give.
///
/// Merging is commutative and idempotent, so news may arrive late, twice and by several ways.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
  entries: BTreeMap<BoxId, Endpoint>,
  /// The exclusive or of the entries' shares.
  fingerprint: u32,
  /// When a box was found gone, so that it can be forgotten later.
  gone_since: BTreeMap<BoxId, Time>,
}

impl EndpointTable {
  /// Milliseconds for which a gone box is remembered, so that late news does not revive it.
  pub const GONE_KEPT_MS: u64 = 600_000;

  /// Forgets boxes that have long been gone. Returns whether there were any.
  pub fn expire(&mut self, now: Time) -> bool {
    let old = |since: &Time| now.since_ms(*since) > Self::GONE_KEPT_MS;
    let expired: Vec<BoxId> =
      self.gone_since.iter().filter(|(_, since)| old(since)).map(|(id, _)| id.clone()).collect();
    for box_id in &expired {
      self.gone_since.remove(box_id);
      self.entries.remove(box_id);
    }
    !expired.is_empty()
  }

  /// Equal tables have equal fingerprints; gone boxes do not count.
  pub fn fingerprint(&self) -> u32 {
    self.fingerprint
  }

  /// The newest news about a box.
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

  /// Takes in `endpoint` where it is newer than what is known. Returns whether it was.
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
