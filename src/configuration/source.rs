use super::*;

/// A foreign format of configurations and orders that an outer platform writes into the store.
///
/// A source does no I/O: the daemon reads the store, and the source parses what it finds.
pub trait Source: fmt::Debug {
  /// The key that holds the newest configuration.
  fn key(&self) -> store::Key;

  /// The prefix of all keys that operators write: the configuration and their orders.
  fn prefix(&self) -> store::Key {
    self.key()
  }

  /// The data hall that is evacuated for as long as the key exists; `None` if it is not such a key.
  fn evacuated_hall(&self, _key: &store::Key) -> Option<DataHall> {
    None
  }

  /// The service that the order under the key is for; `None` if it is not an order's key.
  fn ordered_service(&self, _key: &store::Key) -> Option<ServiceName> {
    None
  }

  /// Parses the order in the value of such a key. The error says what is wrong with the value.
  fn read_order(&self, _value: &str) -> std::result::Result<Order, String> {
    Err("no orders are known".into())
  }

  /// Parses the configuration in the value of [`Source::key`].
  fn read(&self, value: &str) -> std::result::Result<Configuration, ParseError>;
}
