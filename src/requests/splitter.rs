use super::*;

/// Shares the requests of a route among services by weight.
///
/// Each daemon deals its own requests out in turn, so that its shares are off by less than one
/// request for each service, and the fleet's by less than one for each daemon.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
  /// How far each service of a route is behind its share, in requests.
  due: BTreeMap<RouteName, BTreeMap<ServiceName, f64>>,
}

impl Splitter {
  /// The service that takes the next request of a route; nothing where no weight is above zero.
  pub fn next(
    &mut self,
    route: &RouteName,
    shares: &[WeightedService],
    rng: &mut ChaCha8Rng,
  ) -> Option<ServiceName> {
    let total: f64 = shares.iter().map(|share| f64::from(share.weight)).sum();
    if total <= 0.0 {
      return None;
    }
    let known = self.due.get(route).is_some_and(|due| {
      due.len() == shares.len() && shares.iter().all(|share| due.contains_key(&share.service))
    });
    if !known {
      // A random start keeps the daemons from dealing in step.
      let fresh = shares.iter().map(|share| (share.service.clone(), rng.random_range(0.0..0.5)));
      self.due.insert(route.clone(), fresh.collect());
    }
    let due = self.due.get_mut(route)?;
    for share in shares {
      *due.get_mut(&share.service)? += f64::from(share.weight) / total;
    }
    let heard = shares.iter().filter(|share| share.weight > 0);
    let chosen = heard.max_by(|one, other| due[&one.service].total_cmp(&due[&other.service]))?;
    *due.get_mut(&chosen.service)? -= 1.0;
    Some(chosen.service.clone())
  }

  /// Forgets routes that are gone.
  pub fn retain(&mut self, is_known: impl Fn(&RouteName) -> bool) {
    self.due.retain(|route, _| is_known(route));
  }
}
