use super::*;

/// Whether a new connection is taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Opening {
  /// It is refused: all others of its kind are being served.
  Refused,
  /// It is taken, and another one ends for it if there were too many.
  Taken {
    /// The connection that ends.
    evicted: Option<ConnectionId>,
    /// The new connection.
    id: ConnectionId,
  },
}
