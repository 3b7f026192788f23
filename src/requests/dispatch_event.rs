use super::*;

/// An event in the life of one request.
#[derive(Clone, Debug)]
pub enum DispatchEvent {
  /// A try ended, with the head of an answer or without one.
  Ended {
    /// Whether the request's body can be sent again.
    body_resendable: bool,
    /// The try.
    id: TryId,
    /// How it ended.
    outcome: AttemptOutcome,
  },
  /// A try did not and will not reach its box: its connection was dead.
  NeverArrived {
    /// Whether the request's body can be sent again.
    body_resendable: bool,
    /// The try.
    id: TryId,
  },
  /// The box of a try sent its answer a while ago, but it has not come: it is queued in front of a
  /// full link, or lost.
  Overdue {
    /// The try.
    id: TryId,
  },
  /// The request arrived.
  Started,
  /// The box of a try still works on it, or could not be asked.
  StillPending {
    /// The try.
    id: TryId,
  },
  /// The time of [`Dispatch::wake_at`] has come.
  Woken,
}
