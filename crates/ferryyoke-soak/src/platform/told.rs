use super::*;

/// What a backend server tells of its load and speed with its answers and health checks.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Told {
  /// Figures that no backend server can have, and such that are no figures.
  Absurd,
  /// Those of an idle backend server at its usual speed, whatever happens.
  Frozen,
  /// None.
  Missing,
  /// Its own.
  True,
  /// Those of one that is full and ten times slower than usual.
  Wrong,
}

impl Told {
  /// The forms that are not true.
  pub const FALSE: [Self; 4] = [Self::Absurd, Self::Frozen, Self::Missing, Self::Wrong];
  /// Figures that cannot be.
  const ABSURD: [&str; 5] = ["0,0,8,0", "1,0,8,-5", "4294967296,0,0,99999999999", "NaN,,8", ","];

  /// Returns the value of the header; `None` without one. `answered` is the number of answers so far.
  pub(super) fn figures(self, running: u32, slowness: u64, answered: usize) -> Option<String> {
    let slots = BackendServer::SLOTS;
    match self {
      Self::Absurd => Some(Self::ABSURD[answered % Self::ABSURD.len()].into()),
      Self::Frozen => Some(format!("0,0,{slots},100")),
      Self::Missing => None,
      Self::True => Some(format!("{running},0,{slots},{}", slowness * 100)),
      Self::Wrong => Some(format!("{slots},0,{slots},1000")),
    }
  }
}
