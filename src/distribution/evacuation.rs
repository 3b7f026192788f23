use super::*;

/// What the operators want of one data hall, as of a revision of the store.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Evacuation {
  /// The data hall.
  #[serde(rename = "h")]
  pub data_hall: DataHall,
  /// Whether its backend servers get no requests.
  #[serde(rename = "e")]
  pub is_evacuated: bool,
  /// The store's revision that shows so.
  #[serde(rename = "r")]
  pub revision: Revision,
}
