use super::*;

/// Makes names that nothing else in the fleet has, in any life of the box.
pub struct Names {
  box_id: BoxId,
  /// This life of the box.
  pub incarnation: Incarnation,
  last_number: Cell<u64>,
}

impl Names {
  /// Names of one life of a box.
  pub fn new(box_id: BoxId, incarnation: Incarnation) -> Self {
    Self { box_id, incarnation, last_number: Cell::default() }
  }

  fn next_number(&self) -> u64 {
    self.last_number.set(self.last_number.get() + 1);
    self.last_number.get()
  }

  /// Box, life and number, cut at the front to the length of a name.
  fn next_name<T: FromStr>(&self) -> T {
    let text = format!("{}-{:x}-{:x}", self.box_id, self.incarnation.0, self.next_number());
    let start = text.len().saturating_sub(text::NAME_LENGTH_MAX);
    let name = text[start..].parse().ok();
    name.expect("a box name with hexadecimal digits is a name")
  }

  /// Names a try at a claim.
  pub fn attempt_id(&self) -> String {
    format!("{}.{}.{}", self.box_id, self.incarnation, self.next_number())
  }

  /// Names a change.
  pub fn change_id(&self) -> ChangeId {
    self.next_name()
  }

  /// Names a request, and tells which box carries it.
  pub fn request_id(&self) -> RequestId {
    self.next_name()
  }

  /// Names a request at the limiter.
  pub fn ticket(&self) -> Ticket {
    Ticket(self.next_number())
  }
}
