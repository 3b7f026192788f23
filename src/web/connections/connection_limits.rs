use super::*;

/// Limits on what all peers of a process take together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
  /// Most connections of each kind of peer. A kind without a limit has none.
  pub connections_max: BTreeMap<PeerKind, usize>,
  /// Bytes that all connections together may hold.
  pub held_bytes_max: usize,
}

impl ConnectionLimits {
  /// Percentage of the descriptors for each kind of peer. Together with [`Self::OUTGOING_PERCENT`] they leave some for
  /// links, the store and the backend server.
  const PERCENT: [(PeerKind, usize); 7] = [
    (PeerKind::Callers, 40),
    (PeerKind::Daemons, 20),
    (PeerKind::Links, 4),
    (PeerKind::Monitors, 1),
    (PeerKind::Operators, 1),
    (PeerKind::Readiness, 1),
    (PeerKind::Reports, 1),
  ];
  /// Percentage of the descriptors for connections to other daemons, for requests.
  const OUTGOING_PERCENT: usize = 16;
  /// Fewest connections of a kind of peer.
  const CONNECTIONS_MIN: usize = 4;
  /// The part of a process' memory that its peers may take: configuration, links and tasks need the rest.
  const MEMORY_DIVISOR: usize = 8;

  /// Limits of a process with `descriptors` and `memory_bytes`.
  pub fn of_process(descriptors: usize, memory_bytes: usize) -> Self {
    let share = |(kind, percent): (PeerKind, usize)| {
      (kind, (descriptors * percent / 100).max(Self::CONNECTIONS_MIN))
    };
    Self {
      connections_max: Self::PERCENT.into_iter().map(share).collect(),
      held_bytes_max: memory_bytes / Self::MEMORY_DIVISOR,
    }
  }

  /// Most connections to other daemons, for requests, of a process with `descriptors`.
  pub fn outgoing_max(descriptors: usize) -> usize {
    descriptors * Self::OUTGOING_PERCENT / 100
  }

  /// No limits.
  pub fn unlimited() -> Self {
    Self { connections_max: BTreeMap::new(), held_bytes_max: usize::MAX }
  }
}
