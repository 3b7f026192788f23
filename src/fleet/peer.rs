use super::*;

/// A box and the address of its daemon.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
  /// The address at which the daemon accepts links of other daemons.
  pub address: SocketAddr,
  /// The box.
  #[serde(rename = "box")]
  pub box_id: BoxId,
  /// The data hall of the box.
  pub data_hall: DataHall,
}
