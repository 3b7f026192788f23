use super::*;

/// The requests that a daemon works on, each from its arrival until the last byte of its answer was written, or
/// it was given up. Tells what a planned stop still waits for.
#[derive(Clone, Debug, Default)]
pub struct OpenExchanges {
  entries: BTreeMap<ExchangeId, OpenExchange>,
  last: u64,
}

/// Numbers the exchanges of a daemon.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ExchangeId(u64);

/// A request that is not answered whole yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OpenExchange {
  /// Its answer; nothing before the first byte was given.
  pub answer: Option<OpenAnswer>,
  /// When it arrived.
  pub began: Time,
  /// Who sent it.
  pub from: Sender,
  /// The request.
  pub request_id: RequestId,
}

/// An answer that is being given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OpenAnswer {
  /// Bytes that were given to the connection so far.
  pub given_bytes: u64,
  /// Bytes of the whole, where it says so.
  pub whole_bytes: Option<u64>,
}

/// Who sends a request to a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sender {
  /// Another daemon, for one of its callers.
  Box,
  /// A caller.
  Caller,
}

impl OpenExchanges {
  /// A request arrives.
  pub fn begin(&mut self, now: Time, from: Sender, request_id: RequestId) -> ExchangeId {
    self.last += 1;
    let id = ExchangeId(self.last);
    self.entries.insert(id, OpenExchange { answer: None, began: now, from, request_id });
    id
  }

  /// So much of its answer was given by now.
  pub fn note(&mut self, id: ExchangeId, answer: OpenAnswer) {
    if let Some(entry) = self.entries.get_mut(&id) {
      entry.answer = Some(answer);
    }
  }

  /// Its answer was given whole, or it was given up.
  pub fn end(&mut self, id: ExchangeId) {
    self.entries.remove(&id);
  }

  /// One that is open.
  pub fn get(&self, id: ExchangeId) -> Option<&OpenExchange> {
    self.entries.get(&id)
  }

  /// All that are open, oldest first.
  pub fn iter(&self) -> impl Iterator<Item = &OpenExchange> {
    self.entries.values()
  }
}

impl Display for Sender {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.write_str(match self {
      Self::Box => "box",
      Self::Caller => "caller",
    })
  }
}
