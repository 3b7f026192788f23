use super::*;

/// Which box holds which relay slot, as far as known.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Relays(pub Vec<(RelaySlot, Peer)>);

impl Relays {
  /// Boxes that one relay serves.
  pub const SHARE: usize = 32;

  /// Slots that a data hall of `boxes` boxes has: one for every [`Relays::SHARE`] boxes, and two at
  /// least so that one may die.
  pub fn wanted(boxes: usize) -> u32 {
    u32::try_from(boxes.div_ceil(Self::SHARE).max(2)).unwrap_or(u32::MAX)
  }

  /// The lowest free slot among the first `wanted` of a data hall.
  pub fn free_slot(&self, data_hall: &DataHall, wanted: u32) -> Option<RelaySlot> {
    let slot = |index| RelaySlot { data_hall: data_hall.clone(), index };
    let taken = |slot: &RelaySlot| self.0.iter().any(|(held, _)| held == slot);
    (0..wanted).map(slot).find(|slot| !taken(slot))
  }

  /// Whether `box_id` holds a slot.
  pub fn has(&self, box_id: &BoxId) -> bool {
    self.0.iter().any(|(_, peer)| peer.box_id == *box_id)
  }

  /// Relays of a data hall.
  pub fn of(&self, data_hall: &DataHall) -> impl Iterator<Item = &Peer> {
    self.0.iter().filter(|(slot, _)| slot.data_hall == *data_hall).map(|(_, peer)| peer)
  }

  /// All relays in the order in which `own` should try them: its own data hall first, and within a
  /// data hall by a hash that spreads boxes evenly and keeps most of them where they are.
  pub fn ranked_for(&self, own: &Peer) -> Vec<Peer> {
    let mut peers: Vec<Peer> = self.0.iter().map(|(_, peer)| peer.clone()).collect();
    peers.sort();
    peers.dedup();
    peers.retain(|peer| peer.box_id != own.box_id);
    peers.sort_by_key(|peer| {
      let pair = format!("{} {}", own.box_id, peer.box_id);
      (peer.data_hall != own.data_hall, Digest::of(pair.as_bytes()))
    });
    peers
  }

  /// Takes in one key of the store.
  pub fn set(&mut self, slot: RelaySlot, peer: Option<Peer>) {
    self.0.retain(|(held, _)| *held != slot);
    self.0.extend(peer.map(|peer| (slot, peer)));
    self.0.sort();
  }
}
