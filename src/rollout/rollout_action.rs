use super::*;

/// What a [`Rollouts`] wants done.
#[derive(Clone, Debug)]
pub enum RolloutAction {
  /// Call the store, and hand the answer to [`Rollouts::store_answered`].
  Call {
    /// The request.
    request: StoreRequest,
    /// The service whose roll-out it is for.
    service: ServiceName,
  },
  /// What goes where has changed.
  Changed,
  /// Tell the log.
  Log(String),
  /// Tell all neighbours where a roll-out stands.
  Spread(Word),
}
