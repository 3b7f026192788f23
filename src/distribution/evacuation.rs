use super::*;

/// Whether the operators have evacuated a data hall, as of a revision of the store.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Evacuation {
  /// The data hall.
  #[serde(rename = "h")]
  pub data_hall: DataHall,
  /// Whether requests are kept away from its backend servers.
  #[serde(rename = "e")]
  pub is_evacuated: bool,
  /// The store's revision at which this was read.
  #[serde(rename = "r")]
  pub revision: Revision,
}
