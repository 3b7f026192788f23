use super::*;

/// What happens to a request that is under way.
#[derive(Clone, Debug)]
pub enum DispatchEvent {
  /// A try ended, by the head of an answer or without one.
  Ended {
    /// Whether the request's body can be sent once more.
    body_left: bool,
    /// The try.
    id: TryId,
    /// How it ended.
    outcome: AttemptOutcome,
  },
  /// A try never arrived at its box, and never will: it was sent on a connection that is dead.
  NeverArrived {
    /// Whether the request's body can be sent once more.
    body_left: bool,
    /// The try.
    id: TryId,
  },
  /// The box of a try gave its answer a while ago, and it is not here: it waits in front of a full link, or it is
  /// lost.
  Overdue {
    /// The try.
    id: TryId,
  },
  /// The request arrived.
  Started,
  /// A box that was asked for a try still works on it, or cannot be asked.
  StillOut {
    /// The try.
    id: TryId,
  },
  /// The moment came that the decision asked to be woken at.
  Woken,
}
