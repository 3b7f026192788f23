use super::*;

/// How many of a backend server's slots are taken, without regard to its box's links.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SlotLoad {
  /// It warms up: its rate is limited, whatever slots are free.
  Cold,
  /// Running and waiting requests in percent of the slots, or of the rate that it names if that is
  /// higher.
  Percent(u32),
  /// Its daemon does not tell it.
  #[default]
  Untold,
}

impl SlotLoad {
  const COLD: &'static str = "cold";
  const UNTOLD: &'static str = "-";
}

impl Display for SlotLoad {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Cold => f.write_str(Self::COLD),
      Self::Percent(percent) => write!(f, "{percent}"),
      Self::Untold => f.write_str(Self::UNTOLD),
    }
  }
}

impl From<&str> for SlotLoad {
  /// Reads a load as daemons send it; what is not understood counts as untold.
  fn from(text: &str) -> Self {
    match text {
      Self::COLD => Self::Cold,
      text => text.parse().map_or(Self::Untold, Self::Percent),
    }
  }
}
