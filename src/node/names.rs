use super::*;

/// Generates names that are unique in the fleet, also across restarts of the daemon.
pub struct Names {
  box_id: BoxId,
  /// The incarnation of the box, which makes names of restarts differ.
  pub incarnation: Incarnation,
  last_number: Cell<u64>,
}

impl Names {
  /// Creates the generator of one incarnation of a box.
  pub fn new(box_id: BoxId, incarnation: Incarnation) -> Self {
    Self { box_id, incarnation, last_number: Cell::default() }
  }

  fn next_number(&self) -> u64 {
    self.last_number.set(self.last_number.get() + 1);
    self.last_number.get()
  }

  /// Returns box, incarnation and number. Too long a text loses its first characters.
  fn next_name<T: FromStr>(&self) -> T {
    let text = format!("{}-{:x}-{:x}", self.box_id.short(), self.incarnation.0, self.next_number());
    let start = text.len().saturating_sub(text::NAME_LENGTH_MAX);
    let name = text[start..].parse().ok();
    name.expect("a box name with hexadecimal digits is a name")
  }

  /// Returns the id of an attempt to claim.
  pub fn attempt_id(&self) -> String {
    format!("{}.{}.{}", self.box_id.short(), self.incarnation, self.next_number())
  }

  /// Returns the id of a change.
  pub fn change_id(&self) -> ChangeId {
    self.next_name()
  }

  /// Returns the id of a request. It contains the box that received the request.
  pub fn request_id(&self) -> RequestId {
    self.next_name()
  }

  /// Returns the id of a request at the limiter.
  pub fn ticket(&self) -> Ticket {
    Ticket(self.next_number())
  }
}
