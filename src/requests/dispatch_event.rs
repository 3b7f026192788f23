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
  /// The request arrived.
  Started,
  /// The moment came that the decision asked to be woken at.
  Woken,
}
