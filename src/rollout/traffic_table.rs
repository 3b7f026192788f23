use super::*;

/// The traffic rules of all services. Picks the requests that go to a service's new version.
#[derive(Clone, Debug, Default)]
pub struct TrafficTable {
  /// The share that each service's new version has accumulated and not received yet, in thousandths of a request.
  due: BTreeMap<ServiceName, u32>,
  /// Whether rules have been set. A box that knows no other box can't tell which version is in force.
  is_known: bool,
  rules: BTreeMap<ServiceName, Rc<Traffic>>,
}

impl TrafficTable {
  /// Replaces the traffic rules.
  pub fn set(&mut self, rules: BTreeMap<ServiceName, Traffic>) {
    self.is_known = true;
    self.due.retain(|service, _| rules.contains_key(service));
    self.rules = rules.into_iter().map(|(service, rule)| (service, Rc::new(rule))).collect();
  }

  /// Whether the versions in force are known.
  pub fn is_known(&self) -> bool {
    self.is_known
  }

  /// The traffic rule of a service.
  pub fn of(&self, service: &ServiceName) -> Rc<Traffic> {
    self.rules.get(service).cloned().unwrap_or_default()
  }

  /// Returns the lane of the next request for a service. Requests are assigned at even intervals. Each box starts at
  /// a random offset, so that many boxes with few requests each keep the share together.
  pub fn next_lane(&mut self, service: &ServiceName, rng: &mut ChaCha8Rng) -> Lane {
    let permille = self.rules.get(service).map_or(0, |rule| rule.permille);
    if permille == 0 {
      return Lane::InForce;
    }
    let due =
      self.due.entry(service.clone()).or_insert_with(|| rng.random_range(0..Traffic::PERMILLE_ALL));
    *due += permille;
    if *due < Traffic::PERMILLE_ALL {
      return Lane::InForce;
    }
    *due -= Traffic::PERMILLE_ALL;
    Lane::Target
  }
}
