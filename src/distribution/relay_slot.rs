use super::*;

/// A slot for a relay in a data hall. Its holder has a lease in the store.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct RelaySlot {
  /// The data hall.
  pub data_hall: DataHall,
  /// The index of the slot in the data hall, from 0.
  pub index: u32,
}

impl Display for RelaySlot {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(f, "{}/{}", self.data_hall, self.index)
  }
}
