use super::*;

/// Why a connection ends before its peer closes it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Eviction {
  /// There were too many connections of its kind.
  Connections,
  /// All connections together held too much memory.
  Memory,
}

impl Display for Eviction {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.write_str(match self {
      Self::Connections => "connections",
      Self::Memory => "memory",
    })
  }
}
