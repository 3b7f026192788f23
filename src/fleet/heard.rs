/// What a report of a backend server came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Heard {
  /// Another writer sent it: it says nothing of any process here.
  Foreign(&'static str),
  /// It is older than what is known.
  Late,
  /// It told something.
  News,
}
