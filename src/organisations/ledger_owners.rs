use super::*;

/// Assigns the ledger of each organisation to a box by rendezvous hashing: the box with the highest hash of both
/// names owns it. Daemons that know the same boxes agree, and a box that joins or leaves moves only its own ledgers.
#[derive(Clone, Debug, Default)]
pub struct LedgerOwners {
  /// The present boxes, with the hashes of their names.
  boxes: BTreeMap<BoxId, u64>,
  /// When the set of boxes last changed.
  changed_at: Time,
}

impl LedgerOwners {
  /// Records whether a box is present.
  pub fn set_box(&mut self, now: Time, box_id: &BoxId, is_present: bool) {
    let changes = if is_present {
      self.boxes.insert(box_id.clone(), hash(box_id.as_str())).is_none()
    } else {
      self.boxes.remove(box_id).is_some()
    };
    if changes {
      self.changed_at = now;
    }
  }

  /// Returns the box that owns an organisation's ledger, or `None` if no box is known.
  pub fn owner(&self, organisation: &OrganisationName) -> Option<&BoxId> {
    let seed = hash(organisation.as_str());
    let best = self.boxes.iter().max_by_key(|(_, hash)| mix(*hash ^ seed));
    best.map(|(box_id, _)| box_id)
  }

  /// The number of present boxes.
  pub fn count(&self) -> usize {
    self.boxes.len()
  }

  /// When the set of boxes last changed. Until then another box may have owned a ledger.
  pub fn changed_at(&self) -> Time {
    self.changed_at
  }
}

fn hash(name: &str) -> u64 {
  let digest = Digest::of(name.as_bytes());
  let (first, _) = digest.as_bytes().split_at(8);
  u64::from_be_bytes(first.try_into().expect("eight bytes"))
}

/// Mixes the bits of a number.
fn mix(number: u64) -> u64 {
  const FACTOR: u64 = 0xff51_afd7_ed55_8ccd;
  let folded = (number ^ (number >> 33)).wrapping_mul(FACTOR);
  (folded ^ (folded >> 33)).wrapping_mul(FACTOR)
}
