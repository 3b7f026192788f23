//! Bounds what the peers of all servers of a process take together: memory and descriptors.
//!
//! Every connection tells the table what it holds and whether it waits for its peer. Where room is needed, the
//! connection that has waited longest for its peer ends; connections whose requests are being served stay.

use super::*;

pub use self::{
  connection_limits::ConnectionLimits, connection_table::ConnectionTable, eviction::Eviction,
  held_body::HeldBody, open_connection::OpenConnection, opening::Opening, peer_kind::PeerKind,
  phase::Phase, reserved_bytes::ReservedBytes, shared_connections::SharedConnections,
};

mod connection_limits;
mod connection_table;
mod eviction;
mod held_body;
mod open_connection;
mod opening;
mod peer_kind;
mod phase;
mod reserved_bytes;
mod shared_connections;

/// Identifies an open connection within a process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(u64);

impl Display for ConnectionId {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    self.0.fmt(f)
  }
}
