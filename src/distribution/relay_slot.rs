use super::*;

/// One of the places that a data hall has for relays. A lease in the store holds it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct RelaySlot {
  /// The data hall.
  pub data_hall: DataHall,
  /// Counts the slots of the data hall from 0.
  pub index: u32,
}

impl Display for RelaySlot {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(f, "{}/{}", self.data_hall, self.index)
  }
}
