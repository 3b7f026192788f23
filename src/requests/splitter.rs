use super::*;

/// Splits the requests of a route among services by weight.
///
/// Each daemon uses a weighted round robin, so that its shares are off by less than one request per
/// service. It starts at a random point of the cycle, so that the first requests of many daemons
/// are split by weight too.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
  /// By how many requests each service of a route is below its share.
  deficits: BTreeMap<RouteName, BTreeMap<ServiceName, f64>>,
}

impl Splitter {
  /// Maximum number of random initial steps: the usual sum of weights, which is the length of a
  /// cycle.
  const START_MAX: u32 = 1_000;

  /// Returns the service for the next request of a route, or `None` if no weight is above zero.
  pub fn next(
    &mut self,
    route: &RouteName,
    shares: &[WeightedService],
    rng: &mut ChaCha8Rng,
  ) -> Option<ServiceName> {
    let total: u32 = shares.iter().map(|share| share.weight).sum();
    if total == 0 {
      return None;
    }
    let known = self.deficits.get(route).is_some_and(|deficits| {
      deficits.len() == shares.len()
        && shares.iter().all(|share| deficits.contains_key(&share.service))
    });
    if !known {
      let mut deficits = shares.iter().map(|share| (share.service.clone(), 0.0)).collect();
      for _ in 0..rng.random_range(0..total.min(Self::START_MAX)) {
        assign(&mut deficits, shares, total);
      }
      self.deficits.insert(route.clone(), deficits);
    }
    assign(self.deficits.get_mut(route)?, shares, total)
  }

  /// Forgets routes that no longer exist.
  pub fn retain(&mut self, is_known: impl Fn(&RouteName) -> bool) {
    self.deficits.retain(|route, _| is_known(route));
  }
}

/// Adds each service's share of one request, and assigns the request to the one furthest below its
/// share.
fn assign(
  deficits: &mut BTreeMap<ServiceName, f64>,
  shares: &[WeightedService],
  total: u32,
) -> Option<ServiceName> {
  for share in shares {
    *deficits.get_mut(&share.service)? += f64::from(share.weight) / f64::from(total);
  }
  let weighted = shares.iter().filter(|share| share.weight > 0);
  let chosen =
    weighted.max_by(|one, other| deficits[&one.service].total_cmp(&deficits[&other.service]))?;
  *deficits.get_mut(&chosen.service)? -= 1.0;
  Some(chosen.service.clone())
}
