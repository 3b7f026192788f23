use super::*;

/// An action that [`Rollouts`] asks its owner to carry out.
#[derive(Clone, Debug)]
pub enum RolloutAction {
  /// Send the status of a rollout to all neighbours.
  Broadcast(RolloutUpdate),
  /// Call the store and pass the answer to [`Rollouts::store_answered`].
  Call {
    /// The request.
    request: StoreRequest,
    /// The service whose rollout needs the call.
    service: ServiceName,
  },
  /// Write a line to the log.
  Log(String),
  /// Apply the new traffic rules: they have changed.
  TrafficChanged,
}
