use super::*;

/// A transfer that holds a slot of the backend server.
pub trait SlotHolder {
  /// Whether its peer has sent or read too little for too long.
  fn is_stalled(&self, now: Time) -> bool;
  /// Ends it.
  fn release(&self);
}

/// The transfers that hold slots of the backend server. Callers choose the ids of their requests, so these do not tell
/// transfers apart.
#[derive(Default)]
pub struct SlotTransfers {
  transfers: BTreeMap<Ticket, Rc<dyn SlotHolder>>,
}

impl SlotTransfers {
  /// Adds a transfer.
  pub fn insert(&mut self, ticket: Ticket, transfer: Rc<dyn SlotHolder>) {
    self.transfers.insert(ticket, transfer);
  }

  /// Removes a transfer that ended.
  pub fn remove(&mut self, ticket: Ticket) {
    self.transfers.remove(&ticket);
  }

  /// Takes the transfers whose peers send or read too little.
  pub fn take_stalled(&mut self, now: Time) -> Vec<Rc<dyn SlotHolder>> {
    let stalled = self.transfers.extract_if(.., |_, transfer| transfer.is_stalled(now));
    stalled.map(|(_, transfer)| transfer).collect()
  }
}
