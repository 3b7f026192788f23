use super::*;

/// The requests that a daemon handles, each from its arrival until its answer was written whole or
/// the request was cancelled. A planned stop waits for them.
#[derive(Clone, Debug, Default)]
pub struct OpenExchanges {
  entries: BTreeMap<ExchangeId, OpenExchange>,
  last_id: u64,
}

/// Identifies an exchange within a daemon.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ExchangeId(u64);

/// A request whose answer is not yet written whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OpenExchange {
  /// Progress of the answer; `None` before its first byte.
  pub answer: Option<OpenAnswer>,
  /// Who sent it.
  pub from: Sender,
  /// The request's id.
  pub request_id: RequestId,
  /// When the request arrived.
  pub started_at: Time,
}

/// Progress of an answer that is being written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OpenAnswer {
  /// Bytes written to the connection so far.
  pub sent_bytes: u64,
  /// Bytes of the whole answer, if known.
  pub total_bytes: Option<u64>,
}

/// The kind of sender of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sender {
  /// Another daemon, on behalf of one of its callers.
  Box,
  /// A caller.
  Caller,
}

impl OpenExchanges {
  /// Adds a request that arrives.
  pub fn begin(&mut self, now: Time, from: Sender, request_id: RequestId) -> ExchangeId {
    self.last_id += 1;
    let id = ExchangeId(self.last_id);
    self.entries.insert(id, OpenExchange { answer: None, from, request_id, started_at: now });
    id
  }

  /// Updates the progress of an answer.
  pub fn update_answer(&mut self, id: ExchangeId, answer: OpenAnswer) {
    if let Some(entry) = self.entries.get_mut(&id) {
      entry.answer = Some(answer);
    }
  }

  /// Removes a request that was answered whole or cancelled.
  pub fn end(&mut self, id: ExchangeId) {
    self.entries.remove(&id);
  }

  /// Returns an open exchange.
  pub fn get(&self, id: ExchangeId) -> Option<&OpenExchange> {
    self.entries.get(&id)
  }

  /// All open exchanges, oldest first.
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
