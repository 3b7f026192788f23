use super::*;

/// Which data halls the operators evacuate, as far as a daemon knows.
///
/// The newest revision counts for each data hall, so news may arrive late, twice and by several ways.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
  by_hall: BTreeMap<DataHall, Evacuation>,
}

impl Evacuations {
  /// Takes in what somebody told. Returns whether it was news.
  pub fn hear(&mut self, told: &Evacuation) -> bool {
    let known = self.by_hall.get(&told.data_hall);
    if known.is_some_and(|known| known.revision >= told.revision) {
      return false;
    }
    self.by_hall.insert(told.data_hall.clone(), told.clone());
    true
  }

  /// The data halls whose evacuation a read of the whole at `revision` does not show any more.
  pub fn ended(&self, shown: &BTreeSet<DataHall>, revision: Revision) -> Vec<Evacuation> {
    let is_ended = |known: &&Evacuation| {
      known.is_evacuated && known.revision < revision && !shown.contains(&known.data_hall)
    };
    let ended = self.by_hall.values().filter(is_ended);
    ended.map(|known| Evacuation { is_evacuated: false, revision, ..known.clone() }).collect()
  }

  /// All that is known, for a neighbour.
  pub fn all(&self) -> Vec<Evacuation> {
    self.by_hall.values().cloned().collect()
  }

  /// The data halls whose backend servers get no requests.
  pub fn halls(&self) -> BTreeSet<DataHall> {
    let evacuated = self.by_hall.values().filter(|known| known.is_evacuated);
    evacuated.map(|known| known.data_hall.clone()).collect()
  }
}
