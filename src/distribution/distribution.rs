use super::*;

/// Keeps the newest configuration and endpoint table of a daemon.
///
/// A pure state machine: takes a time and an event, and returns actions.
pub trait Distribution {
  /// Returns the held configuration, with its history and sources.
  fn catalog(&self) -> &Catalog;

  /// Returns the latest known endpoint of every box.
  fn endpoints(&self) -> &EndpointTable;

  /// Handles one event and returns the actions to perform, in order.
  fn handle(&mut self, now: Moment, event: Event) -> Vec<Action>;

  /// Returns the daemon's own endpoint.
  fn own_endpoint(&self) -> &Endpoint;

  /// Returns the known state of the roll-out of a service's software.
  fn rollout(&self, _service: &ServiceName) -> Option<&Rollout> {
    None
  }

  /// Returns this daemon's own status.
  fn status(&self) -> Status;

  /// Returns a box's entry in the store if it was unreadable when last read.
  fn unreadable_entry(&self, box_id: &BoxId) -> Option<&UnreadableEntry>;
}

impl Distribution for Distributor {
  fn catalog(&self) -> &Catalog {
    self.catalog()
  }

  fn endpoints(&self) -> &EndpointTable {
    self.endpoints()
  }

  fn handle(&mut self, now: Moment, event: Event) -> Vec<Action> {
    self.handle(now, event)
  }

  fn own_endpoint(&self) -> &Endpoint {
    self.own_endpoint()
  }

  fn status(&self) -> Status {
    self.status()
  }

  /// Always `None`: boxes of such a fleet have no entries in the store.
  fn unreadable_entry(&self, _: &BoxId) -> Option<&UnreadableEntry> {
    None
  }
}
