use super::*;

/// What the daemon knows at the moment of a decision about a request.
pub struct Surroundings<'a> {
  /// What is known of the backend servers.
  pub balancer: &'a mut Balancer,
  /// What may be spent on retries.
  pub budget: &'a mut RetryBudget,
  /// The backend servers of the request's service.
  pub candidates: &'a [Endpoint],
  /// The data hall of this daemon.
  pub data_hall: &'a DataHall,
  /// The data halls that operators evacuate.
  pub evacuated: &'a BTreeSet<DataHall>,
  /// Whether operators drain a box.
  pub is_drained: &'a dyn Fn(&BoxId) -> bool,
  /// The present moment.
  pub now: Time,
  /// The box of this daemon.
  pub own_box: &'a BoxId,
  /// Randomness.
  pub rng: &'a mut ChaCha8Rng,
  /// Which versions of the service get which requests.
  pub traffic: &'a Traffic,
}
