use super::*;

/// Where whole configurations come from that somebody else accepts.
///
/// Pure: the daemon reads the store, and the source translates what it finds.
pub trait Source: fmt::Debug {
  /// The key that holds the newest configuration.
  fn key(&self) -> store::Key;

  /// The configuration in a value of that key, or what is wrong with it.
  fn read(&self, value: &str) -> std::result::Result<Configuration, Unreadable>;
}
