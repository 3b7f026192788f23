use super::*;

/// A box with the address where its daemon takes links.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
  /// Where the daemon takes links from other daemons.
  pub address: SocketAddr,
  /// The box.
  #[serde(rename = "box")]
  pub box_id: BoxId,
  /// The data hall that the box stands in.
  pub data_hall: DataHall,
}
