use super::*;

/// The next action of the proxy for a request.
#[derive(Clone, Debug)]
pub enum DispatchStep {
  /// Return the answer of this try to the caller and cancel the other tries.
  Answer {
    /// The try.
    id: TryId,
  },
  /// Ask the box of a try, over a new connection, whether the try arrived there.
  CheckArrival {
    /// The try.
    id: TryId,
  },
  /// Refuse the request: there is no answer for the caller.
  Refuse(AttemptOutcome),
  /// Start a try.
  Try(Box<TryOrder>),
  /// Wait for the tries in flight.
  Wait,
}

/// A try to start.
#[derive(Clone, Debug)]
pub struct TryOrder {
  /// Credit for retries of the calls that the run makes, which is sent along.
  pub call_credit: CallCredit,
  /// Connect timeout in milliseconds, if a new connection to the box is needed.
  pub connect_ms: u64,
  /// The backend server.
  pub endpoint: Endpoint,
  /// The try.
  pub id: TryId,
  /// Whether the request may queue there, rather than be declined and go to another box.
  pub may_queue: bool,
  /// Why each candidate was chosen or not.
  pub verdicts: Vec<(BoxId, Verdict)>,
}
