use super::*;

/// Knows the room of each service, and decides by it whether this box tries a request.
///
/// It acts for a service only where requests of several ranks or organisations compete for it.
#[derive(Clone, Debug, Default)]
pub struct Rooms {
  configuration: Option<Arc<Configuration>>,
  /// The services for which requests of several ranks or organisations compete.
  contested: BTreeSet<ServiceName>,
  /// The weight of an organisation without a rate limit: the mean of the others. Their weights are
  /// their rates in requests a second.
  default_weight: f64,
  services: BTreeMap<ServiceName, ServiceRoom>,
  /// Sum of the weights of all organisations.
  total_weight: f64,
}

impl Rooms {
  /// Organisations that operators are shown for a service.
  const LARGEST_SHOWN: usize = 5;

  /// Takes ranks, routes and organisations from a configuration.
  pub fn configure(&mut self, configuration: Arc<Configuration>) {
    let mut ranks: BTreeMap<&ServiceName, BTreeSet<u32>> = BTreeMap::new();
    for route in configuration.routes.values() {
      let split = route.value.handling.split.iter().map(|one| &one.service);
      for service in split.chain([&route.value.service]) {
        ranks.entry(service).or_default().insert(route.value.handling.priority);
      }
    }
    let has_organisations = configuration.organisations.len() > 1;
    let is_contested = |ranks: &BTreeSet<u32>| has_organisations || ranks.len() > 1;
    let contested = ranks.iter().filter(|(_, ranks)| is_contested(ranks));
    self.contested = contested.map(|(service, _)| (*service).clone()).collect();
    self.services.retain(|service, _| self.contested.contains(service));
    let rates = || {
      let all = configuration.organisations.values();
      all.filter_map(|one| one.value.rate_limit).map(|limit| limit.rate.requests_per_s())
    };
    #[allow(clippy::cast_precision_loss)]
    let (limited, all) = (rates().count() as f64, configuration.organisations.len() as f64);
    self.default_weight = if limited > 0.0 { rates().sum::<f64>() / limited } else { 1.0 };
    self.total_weight = all * self.default_weight;
    self.configuration = Some(configuration);
  }

  /// Returns what a request of rank `priority` may expect of a service; `None` where this box does
  /// not know enough.
  pub fn forecast(&self, now: Time, service: &ServiceName, priority: u32) -> Option<RoomForecast> {
    self.services.get(service)?.forecast(now, priority)
  }

  /// Sets the backend servers of a service.
  pub fn set_endpoints(&mut self, now: Time, service: &ServiceName, endpoints: &[Endpoint]) {
    let Some(room) = self.service(now, service) else {
      return;
    };
    let mut hall_slots: BTreeMap<DataHall, u64> = BTreeMap::new();
    for endpoint in endpoints.iter().filter(|one| one.state == EndpointState::Live) {
      *hall_slots.entry(endpoint.peer.data_hall.clone()).or_default() += u64::from(endpoint.slots);
    }
    room.set_hall_slots(hall_slots);
  }

  /// Returns the services whose requests this decides on.
  pub fn contested(&self) -> impl Iterator<Item = &ServiceName> {
    self.contested.iter()
  }

  /// Records the condition of a backend server, which came with an answer, or with a refusal that
  /// another backend server might not have given.
  pub fn note_report(
    &mut self,
    now: Time,
    endpoint: &Endpoint,
    condition: Condition,
    is_refusal: bool,
  ) {
    let room = BackendRoom::read(now, endpoint, condition, is_refusal);
    if let Some(service) = self.service(now, &endpoint.service) {
      service.note_report(&endpoint.peer.box_id, room);
    }
  }

  /// Whether a backend server last told that all of its slots are taken.
  pub fn is_full(&self, now: Time, service: &ServiceName, box_id: &BoxId) -> bool {
    self.services.get(service).is_some_and(|room| room.is_full(now, box_id))
  }

  /// Records the end of a request that was tried, and whether it was refused for lack of room.
  /// `rank` is its own rank if [`Rooms::decide`] admitted it.
  pub fn note_ended(
    &mut self,
    now: Time,
    service: &ServiceName,
    rank: Option<u32>,
    is_refused: bool,
  ) {
    if let Some(service) = self.service(now, service) {
      service.note_ended(rank, is_refused);
    }
  }

  /// Decides whether a request is tried.
  pub fn decide(&mut self, now: Time, request: &EntryRequest) -> RoomDecision {
    let configuration = self.configuration.clone();
    let (weight, total) = (self.default_weight, self.total_weight);
    let Some(service) = self.service(now, request.service) else {
      return RoomDecision::Admit { priority: request.urgency.priority };
    };
    let entitlement_of = |name: &OrganisationName| {
      if total <= 0.0 {
        return 1.0;
      }
      let organisation = configuration.as_ref().and_then(|all| all.organisations.get(name));
      let limit = organisation.and_then(|one| one.value.rate_limit);
      limit.map_or(weight, |limit| limit.rate.requests_per_s()) / total
    };
    service.decide(now, request, entitlement_of)
  }

  /// Returns the last change of a service's level that was not taken yet.
  pub fn take_level_change(&mut self, service: &ServiceName) -> Option<LevelChange> {
    self.services.get_mut(service)?.take_level_change()
  }

  /// Returns the state of a service where requests compete for it, created on first use.
  fn service(&mut self, now: Time, service: &ServiceName) -> Option<&mut ServiceRoom> {
    if !self.contested.contains(service) {
      return None;
    }
    if !self.services.contains_key(service) {
      self.services.insert(service.clone(), ServiceRoom::new(now));
    }
    self.services.get_mut(service)
  }

  /// Returns the admitted share of the demand of a service in percent; `None` where this box does
  /// not decide on its requests.
  pub fn level_percent(&self, service: &ServiceName) -> Option<u32> {
    self.services.get(service).map(ServiceRoom::level_percent)
  }

  /// Returns what is known of a service by rank.
  pub fn rows(&self, now: Time, service: &ServiceName) -> Vec<RoomRow> {
    self.services.get(service).map(|room| room.rows(now)).unwrap_or_default()
  }

  /// Returns the organisations that asked for most of a service, with their part of its requests in
  /// percent.
  pub fn largest_organisations(&self, service: &ServiceName) -> Vec<(OrganisationName, u32)> {
    let room = self.services.get(service);
    room.map(|room| room.largest_organisations(Self::LARGEST_SHOWN)).unwrap_or_default()
  }
}
