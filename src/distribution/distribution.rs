use super::*;

/// What a daemon runs to hold the newest configuration and the news about all boxes.
///
/// Pure: takes a time and an event, returns actions.
pub trait Distribution {
  /// The configuration held, with how it came.
  fn catalog(&self) -> &Catalog;

  /// The newest news about every box.
  fn endpoints(&self) -> &EndpointTable;

  /// Takes in one event and returns what to do, in order.
  fn handle(&mut self, now: Moment, event: Event) -> Vec<Action>;

  /// The daemon's own endpoint.
  fn own_endpoint(&self) -> &Endpoint;

  /// What is known of the roll-out of a service's software.
  fn rollout(&self, _service: &ServiceName) -> Option<&Rollout> {
    None
  }

  /// What this daemon knows about its own part.
  fn status(&self) -> Status;

  /// The entry of a box in the store, where it was found unreadable at the last look.
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

  /// Boxes of such a fleet have no entries in the store.
  fn unreadable_entry(&self, _: &BoxId) -> Option<&UnreadableEntry> {
    None
  }
}
