/// How a backend server's report was handled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Heard {
  /// Ignored, as it doesn't come from a process of this backend server.
  Foreign(&'static str),
  /// Ignored, as it is older than what is known.
  Late,
  /// It had new content.
  News,
}
