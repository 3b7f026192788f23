use super::*;

/// The traffic of all services, and who of a service's requests goes to its new version.
#[derive(Clone, Debug, Default)]
pub struct TrafficTable {
  /// How far each service's new version is behind its share, in thousandths of a request.
  due: BTreeMap<ServiceName, u32>,
  /// Whether anything was told yet. A box that knows nobody cannot tell which version is in force.
  is_known: bool,
  rules: BTreeMap<ServiceName, Rc<Traffic>>,
}

impl TrafficTable {
  /// Takes over what goes where.
  pub fn set(&mut self, rules: BTreeMap<ServiceName, Traffic>) {
    self.is_known = true;
    self.due.retain(|service, _| rules.contains_key(service));
    self.rules = rules.into_iter().map(|(service, rule)| (service, Rc::new(rule))).collect();
  }

  /// Whether it is known which versions are in force.
  pub fn is_known(&self) -> bool {
    self.is_known
  }

  /// The traffic of a service.
  pub fn of(&self, service: &ServiceName) -> Rc<Traffic> {
    self.rules.get(service).cloned().unwrap_or_default()
  }

  /// The lane of the next request for a service. Requests are dealt in turn, and each box
  /// begins anywhere in its turn, so that many boxes with few requests each keep to the share together.
  pub fn deal(&mut self, service: &ServiceName, rng: &mut ChaCha8Rng) -> Lane {
    let permille = self.rules.get(service).map_or(0, |rule| rule.permille);
    if permille == 0 {
      return Lane::InForce;
    }
    let due =
      self.due.entry(service.clone()).or_insert_with(|| rng.random_range(0..Traffic::WHOLE));
    *due += permille;
    if *due < Traffic::WHOLE {
      return Lane::InForce;
    }
    *due -= Traffic::WHOLE;
    Lane::Target
  }
}
