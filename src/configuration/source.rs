use super::*;

/// Where whole configurations come from that somebody else accepts.
///
/// Pure: the daemon reads the store, and the source translates what it finds.
pub trait Source: fmt::Debug {
  /// The key that holds the newest configuration.
  fn key(&self) -> store::Key;

  /// The prefix of all keys that the operators write: the configuration and their orders.
  fn prefix(&self) -> store::Key {
    self.key()
  }

  /// The data hall that the operators evacuate for as long as a key is there; nothing where the key says no such thing.
  fn evacuated_hall(&self, _key: &store::Key) -> Option<DataHall> {
    None
  }

  /// The service that a key's order is about; nothing where the key is none of an order.
  fn ordered_service(&self, _key: &store::Key) -> Option<ServiceName> {
    None
  }

  /// The order in a value of such a key, or what is wrong with it.
  fn read_order(&self, _value: &str) -> std::result::Result<Order, String> {
    Err("no orders are known".into())
  }

  /// The configuration in a value of that key, or what is wrong with it.
  fn read(&self, value: &str) -> std::result::Result<Configuration, Unreadable>;
}
