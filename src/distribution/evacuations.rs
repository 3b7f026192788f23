use super::*;

/// The evacuation state of every data hall, as known to a daemon.
///
/// The newest revision wins for each data hall, so updates may arrive late, repeatedly and from
/// several neighbours.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
  by_hall: BTreeMap<DataHall, Evacuation>,
}

impl Evacuations {
  /// Applies an update if it is newer, and returns whether it was.
  pub fn merge(&mut self, update: &Evacuation) -> bool {
    let known = self.by_hall.get(&update.data_hall);
    if known.is_some_and(|known| known.revision >= update.revision) {
      return false;
    }
    self.by_hall.insert(update.data_hall.clone(), update.clone());
    true
  }

  /// Returns the ends of known evacuations that a complete read of the store at `revision` no
  /// longer shows.
  pub fn ended(&self, shown: &BTreeSet<DataHall>, revision: Revision) -> Vec<Evacuation> {
    let is_ended = |known: &&Evacuation| {
      known.is_evacuated && known.revision < revision && !shown.contains(&known.data_hall)
    };
    let ended = self.by_hall.values().filter(is_ended);
    ended.map(|known| Evacuation { is_evacuated: false, revision, ..known.clone() }).collect()
  }

  /// Returns all known states, to be sent to a neighbour.
  pub fn all(&self) -> Vec<Evacuation> {
    self.by_hall.values().cloned().collect()
  }

  /// Returns the evacuated data halls.
  pub fn halls(&self) -> BTreeSet<DataHall> {
    let evacuated = self.by_hall.values().filter(|known| known.is_evacuated);
    evacuated.map(|known| known.data_hall.clone()).collect()
  }
}
