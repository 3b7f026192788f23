use super::*;

/// Who connects to a server of the process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PeerKind {
  /// Callers.
  Callers,
  /// Other daemons, with requests that they forward.
  Daemons,
  /// Other daemons that open links and have not proved yet that they are of the fleet.
  Links,
  /// Monitoring systems that read metrics.
  Monitors,
  /// Operators.
  Operators,
  /// The platform's readiness checks.
  Readiness,
  /// The backend server, with its reports.
  Reports,
}

impl PeerKind {
  /// All kinds.
  pub const ALL: [Self; 7] = [
    Self::Callers,
    Self::Daemons,
    Self::Links,
    Self::Monitors,
    Self::Operators,
    Self::Readiness,
    Self::Reports,
  ];
}

impl Display for PeerKind {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.write_str(match self {
      Self::Callers => "callers",
      Self::Daemons => "daemons",
      Self::Links => "links",
      Self::Monitors => "monitors",
      Self::Operators => "operators",
      Self::Readiness => "readiness",
      Self::Reports => "reports",
    })
  }
}
