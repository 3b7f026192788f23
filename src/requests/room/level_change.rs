/// A change of the share of a service's demand that a box admits, with what it was decided on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LevelChange {
  /// The admitted share from now on, in percent.
  pub after_percent: u32,
  /// The admitted share until now, in percent.
  pub before_percent: u32,
  /// Tried requests that ended in the window.
  pub ended: u32,
  /// Mean over the window's reports of requests that wait in percent of the slots.
  pub excess_percent: u32,
  /// Those of the ended requests that found no room.
  pub refused: u32,
  /// Reports in the window.
  pub reports: u32,
}
