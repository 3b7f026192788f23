use super::*;

/// Which box keeps the ledger of each organisation: the one with the highest hash of both names. So all daemons that
/// know the same boxes agree, and a box that comes or goes moves its own share of the ledgers only.
#[derive(Clone, Debug, Default)]
pub struct Keepers {
  /// Boxes that are there, with the hashes of their names.
  boxes: BTreeMap<BoxId, u64>,
  /// When the boxes changed last.
  changed_at: Time,
}

impl Keepers {
  /// A box is there from now on, or is not.
  pub fn note(&mut self, now: Time, box_id: &BoxId, is_there: bool) {
    let changes = if is_there {
      self.boxes.insert(box_id.clone(), hash(box_id.as_str())).is_none()
    } else {
      self.boxes.remove(box_id).is_some()
    };
    if changes {
      self.changed_at = now;
    }
  }

  /// The box that keeps an organisation's ledger; nothing where no box is known.
  pub fn keeper(&self, organisation: &OrganisationName) -> Option<&BoxId> {
    let seed = hash(organisation.as_str());
    let best = self.boxes.iter().max_by_key(|(_, hash)| mix(*hash ^ seed));
    best.map(|(box_id, _)| box_id)
  }

  /// How many boxes are there.
  pub fn count(&self) -> usize {
    self.boxes.len()
  }

  /// When the boxes changed last: until then another box may have kept a ledger.
  pub fn changed_at(&self) -> Time {
    self.changed_at
  }
}

fn hash(name: &str) -> u64 {
  let digest = Digest::of(name.as_bytes());
  let (first, _) = digest.as_bytes().split_at(8);
  u64::from_be_bytes(first.try_into().expect("eight bytes"))
}

/// Spreads the bits of a number over all of it.
fn mix(number: u64) -> u64 {
  const FACTOR: u64 = 0xff51_afd7_ed55_8ccd;
  let folded = (number ^ (number >> 33)).wrapping_mul(FACTOR);
  (folded ^ (folded >> 33)).wrapping_mul(FACTOR)
}
