/// How the caller of a refused request returned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReturnConduct {
  /// When it was told, or later.
  AsTold,
  /// Earlier than it was told, again and again.
  EarlySeries,
}
