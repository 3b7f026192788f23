use super::*;

/// The state of the daemon that a dispatch decision uses.
pub struct DispatchContext<'a> {
  /// Load and health of the backend servers.
  pub balancer: &'a mut Balancer,
  /// The retry budget.
  pub budget: &'a mut RetryBudget,
  /// Backend servers of the request's service.
  pub candidates: &'a [Endpoint],
  /// The data hall of this daemon.
  pub data_hall: &'a DataHall,
  /// Data halls that operators evacuate.
  pub evacuated: &'a BTreeSet<DataHall>,
  /// Whether operators drain a box.
  pub is_drained: &'a dyn Fn(&BoxId) -> bool,
  /// The current time.
  pub now: Time,
  /// The box of this daemon.
  pub own_box: &'a BoxId,
  /// What a request of this rank may expect of the service, if that is known.
  pub room: Option<RoomForecast>,
  /// Source of randomness.
  pub rng: &'a mut ChaCha8Rng,
  /// The split of requests among the versions of the service.
  pub traffic: &'a Traffic,
}
