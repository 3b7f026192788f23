use super::*;

/// What is to be done for a request.
#[derive(Clone, Debug)]
pub enum DispatchStep {
  /// Give the caller the answer of a try. Tries that still run are given up.
  Answer {
    /// The try.
    id: TryId,
  },
  /// Ask the box of a try, over a fresh connection, whether it arrived there.
  Ask {
    /// The try.
    id: TryId,
  },
  /// Tell the caller that there is no answer.
  Refuse(AttemptOutcome),
  /// Start a try.
  Try(Box<TryOrder>),
  /// Wait for the tries under way.
  Wait,
}

/// A try to be started.
#[derive(Clone, Debug)]
pub struct TryOrder {
  /// Milliseconds for which a new connection to the box may take to come up.
  pub connect_ms: u64,
  /// The box.
  pub endpoint: Endpoint,
  /// The try.
  pub id: TryId,
  /// Whether the request waits there for a slot, rather than going on to another box.
  pub insists: bool,
  /// Why each candidate was or was not chosen.
  pub verdicts: Vec<(BoxId, Verdict)>,
}
