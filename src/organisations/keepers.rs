use super::*;

/// Which box keeps the ledger of each organisation: the one with the highest hash of both names. So all daemons that
/// know the same boxes agree, and a box that comes or goes moves its own share of the ledgers only.
#[derive(Clone, Debug, Default)]
pub struct Keepers {
  boxes: Vec<(u64, BoxId)>,
  /// When the boxes changed last.
  changed_at: Time,
}

impl Keepers {
  /// Takes over the boxes that are there, in any order.
  pub fn set<'a>(&mut self, now: Time, boxes: impl Iterator<Item = &'a BoxId>) {
    let mut known: Vec<&BoxId> = boxes.collect();
    known.sort_unstable();
    let is_same = known.len() == self.boxes.len()
      && known.iter().zip(&self.boxes).all(|(known, (_, held))| *known == held);
    if is_same {
      return;
    }
    self.boxes = known.into_iter().map(|one| (hash(one.as_str()), one.clone())).collect();
    self.changed_at = now;
  }

  /// The box that keeps an organisation's ledger; nothing where no box is known.
  pub fn keeper(&self, organisation: &OrganisationName) -> Option<&BoxId> {
    let seed = hash(organisation.as_str());
    let best = self.boxes.iter().max_by_key(|(hash, _)| mix(hash ^ seed));
    best.map(|(_, box_id)| box_id)
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
