/// The role of a link's peer towards this daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkRole {
  /// Receives configuration from this daemon.
  Downstream,
  /// A relay, like this daemon.
  Mesh,
  /// Not agreed yet.
  Pending,
  /// Sends configuration to this daemon.
  Upstream,
}
