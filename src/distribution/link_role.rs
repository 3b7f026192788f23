/// What the daemon at the other end of a link is to this one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkRole {
  /// Gets configuration from this daemon.
  Downstream,
  /// A relay, as this daemon is.
  Mesh,
  /// Not settled yet.
  Pending,
  /// Gives configuration to this daemon.
  Upstream,
}
