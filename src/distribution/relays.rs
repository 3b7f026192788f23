use super::*;

/// The known holders of relay slots.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Relays(pub Vec<(RelaySlot, Peer)>);

impl Relays {
  /// Number of boxes that one relay serves.
  pub const BOXES_PER_RELAY: usize = 32;

  /// Returns the number of slots of a data hall with `boxes` boxes: one for every [`Relays::BOXES_PER_RELAY`]
  /// boxes, and at least two so that one relay may fail.
  pub fn slot_count(boxes: usize) -> u32 {
    u32::try_from(boxes.div_ceil(Self::BOXES_PER_RELAY).max(2)).unwrap_or(u32::MAX)
  }

  /// Returns the lowest free slot among the first `wanted` slots of a data hall.
  pub fn free_slot(&self, data_hall: &DataHall, wanted: u32) -> Option<RelaySlot> {
    let slot = |index| RelaySlot { data_hall: data_hall.clone(), index };
    let taken = |slot: &RelaySlot| self.0.iter().any(|(held, _)| held == slot);
    (0..wanted).map(slot).find(|slot| !taken(slot))
  }

  /// Whether `box_id` holds a slot.
  pub fn has(&self, box_id: &BoxId) -> bool {
    self.0.iter().any(|(_, peer)| peer.box_id == *box_id)
  }

  /// Returns the relays of a data hall.
  pub fn of(&self, data_hall: &DataHall) -> impl Iterator<Item = &Peer> {
    self.0.iter().filter(|(slot, _)| slot.data_hall == *data_hall).map(|(_, peer)| peer)
  }

  /// Returns all relays in the order in which `own` should try them: those of its own data hall
  /// first, then the others. Rendezvous hashing orders each group, so that boxes are spread evenly
  /// and most keep their relay when the set of relays changes.
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

  /// Sets or clears the holder of a slot.
  pub fn set(&mut self, slot: RelaySlot, peer: Option<Peer>) {
    self.0.retain(|(held, _)| *held != slot);
    self.0.extend(peer.map(|peer| (slot, peer)));
    self.0.sort();
  }
}
