use super::*;

/// State that the parts of a daemon share. It is used on the daemon's only thread.
pub struct Shared {
  /// Limits the answers that the box has to send over its network link; `None` if the link's speed is unknown.
  pub answer_budget: RefCell<Option<AnswerBudget>>,
  /// Sizes of the answers of each route.
  pub answer_sizes: RefCell<AnswerSizes>,
  /// Tries that arrived here from other daemons, with their answers.
  pub arrivals: RefCell<ReceivedAttempts<Rc<web::StoredResponse>>>,
  /// The state of the backend server, as far as known.
  pub backend: RefCell<BackendRecord>,
  /// Connection pool to the backend server.
  pub backend_pool: Rc<web::Pool>,
  /// Selects backend servers.
  pub balancer: RefCell<Balancer>,
  /// Schedules the transfer of large bodies over the box's network link.
  pub body_queue: RefCell<BodyQueue>,
  /// The calls that runs of each route make.
  pub call_trees: RefCell<CallTrees>,
  /// When the connections were last reported on.
  pub(super) connections_reported_at: Cell<Time>,
  /// The connections of all peers.
  pub connections: Rc<web::SharedConnections>,
  /// Limits on what callers may send.
  pub caller_limits: Rc<Cell<ServerLimits>>,
  /// The timeouts that callers usually have.
  pub caller_timeouts: RefCell<CallerTimeouts>,
  /// Source of time.
  pub clock: Rc<dyn Clock>,
  /// Limits the rate of requests to the backend server while it is cold.
  pub cold_start_limiter: RefCell<ColdStartLimiter>,
  configuration: RefCell<Option<Arc<Configuration>>>,
  /// When the store, or a daemon that reads it, last confirmed the configuration in force.
  pub(super) confirmed_at: Cell<Option<Time>>,
  /// Tracks the requests that run at the backend server, and finds suspects when its process ends.
  pub crash_detector: RefCell<CrashDetector>,
  /// Classes whose callers come back too early.
  pub early_classes: RefCell<EarlyClasses>,
  /// Refused callers that are yet to come back.
  pub early_returns: RefCell<EarlyReturns>,
  endpoints: RefCell<ServiceEndpoints>,
  /// The data halls that the operators evacuate.
  pub(super) evacuated: RefCell<Rc<BTreeSet<DataHall>>>,
  /// When evidence on the backend server's answers was last reported.
  pub(super) evidence_at: Cell<Time>,
  /// The header names of callers and backend servers.
  pub header_names: HeaderNames,
  /// The most bytes that were held for peers since memory was last given back.
  pub(super) held_peak_bytes: Cell<usize>,
  /// The rate limits of backend servers at other boxes.
  pub heard_limits: RefCell<HeardLimits>,
  /// Whether an answer said that the backend server leaves, and the fleet was not told yet.
  pub(super) is_leaving_unannounced: Cell<bool>,
  /// Whether a timer runs that gives slots to requests which wait for the named rate limit.
  pub(super) is_pacing: Cell<bool>,
  pub(super) key_ring: RefCell<Rc<KeyRing>>,
  /// Limits the requests that run at the backend server.
  pub limiter: RefCell<Limiter>,
  /// Limits the bodies received over the box's network link; `None` if the link's speed is unknown.
  pub link_budget: RefCell<Option<LinkBudget>>,
  /// The log.
  pub log: Log,
  /// The metrics.
  pub metrics: Metrics,
  /// Recent failure rate and service time of the backend server.
  pub monitor: RefCell<BackendMonitor>,
  /// The rate limit that the backend server names.
  pub named_limit: RefCell<NamedLimit>,
  /// Generates ids.
  pub names: Names,
  /// A version that is known but not in force here yet.
  newer_version: Cell<Option<Version>>,
  /// Counts the backend server's answers during a rollout.
  pub observer: RefCell<Observer>,
  /// The requests that are not completely answered yet.
  pub open_exchanges: RefCell<OpenExchanges>,
  /// The box's link as large answers use it; `None` where its rate is unknown.
  pub outbound_link: RefCell<Option<OutboundLink>>,
  /// Connection pool to other daemons.
  pub peer_pool: Rc<web::Pool>,
  /// Requests that ran when a backend server's process ended, anywhere in the fleet.
  pub quarantine: RefCell<Quarantine>,
  /// Rate limits of organisations.
  pub rate_limits: RefCell<RateLimits<futures_channel::oneshot::Sender<Admission>>>,
  /// Records of the latest requests.
  pub records: RefCell<RequestHistory>,
  /// Why the last configuration was refused; `None` once a later one is in force.
  refused_configuration: RefCell<Option<String>>,
  pub(super) refuses_work: Cell<bool>,
  /// Limits retries.
  pub retry_budget: RefCell<RetryBudget>,
  /// When refused callers of this box return.
  pub return_schedules: RefCell<ReturnSchedules>,
  /// Random number generator for decisions.
  pub rng: RefCell<ChaCha8Rng>,
  /// The room of each service.
  pub rooms: RefCell<Rooms>,
  router: RefCell<Rc<Router>>,
  /// Outcomes of requests at the backend server that are not reported to the fleet yet.
  pub(super) run_outcomes: RefCell<Vec<RunOutcome>>,
  /// How long runs of each route take.
  pub run_times: RefCell<RunTimes>,
  /// Requests that run at the backend server.
  pub running_requests: RefCell<RunningRequests>,
  /// Number of operators' statements that are running.
  pub running_statements: Cell<usize>,
  /// The service that the settings named when they were last read.
  pub(super) service: RefCell<ServiceName>,
  /// The settings.
  pub settings: Settings,
  /// When a request last found no slot; `None` while no task looks for slots that can be freed.
  pub shortage_at: Cell<Option<Time>>,
  /// The transfers that hold slots of the backend server.
  pub slot_transfers: RefCell<SlotTransfers>,
  /// How fast the backend server works.
  pub speed: RefCell<SpeedMonitor>,
  /// Splits requests of a route among services.
  pub splitter: RefCell<Splitter>,
  /// Longest planned stop in milliseconds. Changes when the settings are read again.
  pub stop_deadline_ms: Cell<u64>,
  /// The time limit of a planned stop, once it began.
  stopping: Cell<Option<StopLimit>>,
  store: Rc<dyn Store>,
  /// Which versions of services get which requests.
  pub traffic: RefCell<TrafficTable>,
  /// Since when all requests go to other versions than that of this box's backend server.
  pub(super) traffic_lost_at: Cell<Option<Time>>,
  /// Wakes requests that wait for a slot, or for the transfer of their body.
  pub waiters: RefCell<BTreeMap<Ticket, futures_channel::oneshot::Sender<()>>>,
}

impl Shared {
  /// Pause of the process in milliseconds from which idle connections are not reused: the other side may have
  /// closed them meanwhile.
  const IDLE_CONNECTIONS_PAUSE_MS: u64 = 1_000;
  /// Timeout for opening a connection, in milliseconds.
  const CONNECT_TIMEOUT_MS: u64 = 1_000;
  /// Milliseconds after a deadline for which another daemon's answer about it may still arrive.
  pub const PEER_GRACE_MS: u64 = 50;
  /// Queue length of the limiter if no policy sets it.
  const QUEUE_DEFAULT: usize = 64;
  /// Milliseconds after which a caller may retry if no better estimate is known.
  pub const RETRY_AFTER_MS: u64 = 100;

  /// Creates the initial state of a daemon.
  pub fn new(
    settings: Settings,
    store: Rc<dyn Store>,
    clock: Rc<dyn Clock>,
    log: Log,
    header_names: HeaderNames,
    seed: u64,
  ) -> Self {
    let names = Names::new(settings.box_id.clone(), Incarnation(clock.now().unix_ms));
    let link_mbps = settings.deployment.as_ref().map(|deployment| deployment.link_mbps);
    let answer_budget = link_mbps.map(AnswerBudget::new);
    let link_budget = link_mbps.map(LinkBudget::new);
    let service = RefCell::new(settings.service.clone());
    let slots = settings.backend_server.slots as usize;
    let stop_deadline_ms = Cell::new(settings.stop_deadline_ms);
    let ProcessLimits { descriptors, memory_bytes } = settings.limits;
    let connection_limits = ConnectionLimits::of_process(descriptors, memory_bytes);
    let outgoing_max = ConnectionLimits::outgoing_max(descriptors);
    let pool = || web::Pool::new(Self::CONNECT_TIMEOUT_MS);
    Self {
      answer_budget: RefCell::new(answer_budget),
      answer_sizes: RefCell::default(),
      arrivals: RefCell::new(ReceivedAttempts::new(clock.now().time)),
      backend: RefCell::default(),
      backend_pool: Rc::new(pool()),
      balancer: RefCell::default(),
      body_queue: RefCell::new(BodyQueue::new(link_mbps.unwrap_or(f64::INFINITY))),
      call_trees: RefCell::default(),
      caller_limits: Rc::default(),
      caller_timeouts: RefCell::default(),
      clock,
      cold_start_limiter: RefCell::default(),
      configuration: RefCell::default(),
      confirmed_at: Cell::default(),
      connections_reported_at: Cell::default(),
      connections: web::SharedConnections::new(connection_limits),
      crash_detector: RefCell::default(),
      early_classes: RefCell::default(),
      early_returns: RefCell::default(),
      endpoints: RefCell::default(),
      evacuated: RefCell::default(),
      evidence_at: Cell::default(),
      header_names,
      heard_limits: RefCell::default(),
      held_peak_bytes: Cell::default(),
      is_leaving_unannounced: Cell::default(),
      is_pacing: Cell::default(),
      key_ring: RefCell::default(),
      limiter: RefCell::new(Limiter::new(slots, Self::QUEUE_DEFAULT)),
      link_budget: RefCell::new(link_budget),
      log,
      metrics: Metrics::new(),
      monitor: RefCell::default(),
      named_limit: RefCell::default(),
      names,
      newer_version: Cell::default(),
      observer: RefCell::default(),
      open_exchanges: RefCell::default(),
      outbound_link: RefCell::new(link_mbps.map(OutboundLink::new)),
      peer_pool: Rc::new(pool().with_connections_max(outgoing_max)),
      quarantine: RefCell::default(),
      rate_limits: RefCell::default(),
      records: RefCell::default(),
      refused_configuration: RefCell::default(),
      refuses_work: Cell::default(),
      retry_budget: RefCell::default(),
      return_schedules: RefCell::default(),
      rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
      rooms: RefCell::default(),
      router: RefCell::default(),
      run_outcomes: RefCell::default(),
      run_times: RefCell::default(),
      running_requests: RefCell::default(),
      running_statements: Cell::default(),
      service,
      settings,
      shortage_at: Cell::default(),
      slot_transfers: RefCell::default(),
      speed: RefCell::default(),
      splitter: RefCell::default(),
      stop_deadline_ms,
      stopping: Cell::default(),
      store,
      traffic: RefCell::default(),
      traffic_lost_at: Cell::default(),
      waiters: RefCell::default(),
    }
  }

  /// Puts a configuration in force. All routes switch to its version at once.
  pub fn apply(&self, configuration: Arc<Configuration>) {
    let gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
    self.metrics.configuration.version.set(gauge(configuration.version.0));
    self.metrics.configuration.applied_unix_ms.set(gauge(self.now().unix_ms));
    info!(self.log.logger, "a configuration is in force"; "version" => configuration.version.0);
    self.note_omissions(&configuration);
    if let Some(limits) = configuration.limits {
      self.caller_limits.set(ServerLimits {
        body_bytes_max: limits.body_bytes_max,
        head_bytes_max: limits.head_bytes_max,
        head_timeout_ms: limits.head_timeout_ms,
        idle_timeout_ms: limits.idle_timeout_ms,
      });
    }
    let is_known = |route: &RouteName| configuration.routes.contains_key(route);
    self.answer_sizes.borrow_mut().retain(is_known);
    self.call_trees.borrow_mut().retain(is_known);
    self.caller_timeouts.borrow_mut().retain(is_known);
    let routes = configuration.routes.values().map(|route| &route.value);
    let kinds = routes
      .flat_map(|route| route.services().map(|service| RouteKind::of(service, &route.handling)));
    self.run_times.borrow_mut().retain(is_known, kinds);
    self.splitter.borrow_mut().retain(|route| configuration.routes.contains_key(route));
    self.newer_version.set(self.newer_version.get().filter(|newer| *newer > configuration.version));
    self.set_organisations(&configuration);
    self.rooms.borrow_mut().configure(configuration.clone());
    let now = self.now().time;
    let contested: Vec<ServiceName> = self.rooms.borrow().contested().cloned().collect();
    self.return_schedules.borrow_mut().configure(now, contested.iter());
    for service in &contested {
      self.update_room_endpoints(service);
    }
    *self.router.borrow_mut() = Rc::new(Router::new(&configuration));
    *self.configuration.borrow_mut() = Some(configuration);
    *self.refused_configuration.borrow_mut() = None;
    self.apply_queue_length();
  }

  /// Counts the items that a configuration leaves out, and logs those that the one before didn't.
  fn note_omissions(&self, configuration: &Configuration) {
    let count = configuration.omissions.len();
    self.metrics.configuration.items_omitted.set(i64::try_from(count).unwrap_or(i64::MAX));
    let before = self.configuration.borrow();
    let is_known = |omission: &&Omission| {
      before.as_ref().is_some_and(|before| before.omissions.contains(omission))
    };
    for omission in configuration.omissions.iter().filter(|omission| !is_known(omission)) {
      warn!(
        self.log.logger, "an item of the configuration cannot be read and is left out";
        "item" => &omission.item, "reason" => &omission.reason,
        "version" => configuration.version.0
      );
    }
  }

  /// Applies the queue length of the policy of the backend server's service.
  pub(super) fn apply_queue_length(&self) {
    let queue = self.policy(&self.own_service()).map(|policy| policy.queue_length);
    if let Some(queue) = queue {
      self.limiter.borrow_mut().set_queue_max(queue as usize);
    }
  }

  /// Calls the store, and counts the result.
  pub async fn call_store(&self, request: StoreRequest) -> store::Result<Reply> {
    let result = self.store.call(request).await;
    self.metrics.count_store_call(&result);
    result
  }

  /// Returns the newest era of the store, which a restore from a backup begins.
  pub fn store_era(&self) -> Era {
    self.store.era()
  }

  /// Logs and records that the store was restored from a backup.
  pub fn note_store_era(&self, era: Era) {
    self.metrics.store_era.set(i64::try_from(era.0).unwrap_or(i64::MAX));
    warn!(
      self.log.logger, "the store was restored from a backup: the entries of this box are written again";
      "era" => era.0
    );
  }

  /// Checks whether the process was paused, and discards state that a pause makes unreliable. Call this before
  /// forwarding anything based on earlier state.
  pub fn check_for_pause(&self) {
    let Some(pause) = timer::take_pause() else {
      return;
    };
    let pause_ms = u64::try_from(pause.duration.as_millis()).unwrap_or(u64::MAX);
    let busy_ms = u64::try_from(pause.processor_time.as_millis()).unwrap_or(u64::MAX);
    let cause = if busy_ms > pause_ms / 2 {
      "one task held its event loop"
    } else {
      "its machine was suspended, or it got no processor time"
    };
    warn!(
      self.log.logger, "the process was paused: {}", cause;
      "busy_ms" => busy_ms, "for_ms" => pause_ms
    );
    self.metrics.process_pauses.inc();
    self.limiter.borrow_mut().exclude_pause(pause_ms);
    if pause_ms >= Self::IDLE_CONNECTIONS_PAUSE_MS {
      self.peer_pool.close_idle();
      self.backend_pool.close_idle();
    }
  }

  /// Returns the configuration in force.
  pub fn configuration(&self) -> Option<Arc<Configuration>> {
    self.configuration.borrow().clone()
  }

  /// Returns the microseconds since the daemon started, for measurements.
  pub fn elapsed_us(&self) -> u64 {
    self.clock.elapsed_us()
  }

  /// Returns the address at which the daemon of a box accepts forwarded requests.
  pub fn forward_address(&self, box_id: &BoxId) -> Option<SocketAddr> {
    self.endpoints.borrow().find(box_id).map(|endpoint| endpoint.forward_address)
  }

  /// Returns the backend servers of a service.
  pub fn endpoints_of(&self, service: &ServiceName) -> Rc<Vec<Endpoint>> {
    self.endpoints.borrow().of(service)
  }

  /// Replaces the endpoint table.
  pub fn set_endpoints<'a>(&self, endpoints: impl Iterator<Item = &'a Endpoint>) {
    *self.endpoints.borrow_mut() = ServiceEndpoints::default();
    let all: Vec<Endpoint> = endpoints.cloned().collect();
    self.rate_limits.borrow_mut().forget_boxes();
    self.update_endpoints(&all);
    let endpoints = self.endpoints.borrow();
    let is_known = |box_id: &BoxId| endpoints.find(box_id).is_some();
    self.balancer.borrow_mut().retain(is_known);
    self.quarantine.borrow_mut().retain(is_known);
  }

  /// Applies updates of some boxes' endpoints.
  pub fn update_endpoints(&self, updates: &[Endpoint]) {
    let now = self.now().time;
    {
      let mut endpoints = self.endpoints.borrow_mut();
      let mut rate_limits = self.rate_limits.borrow_mut();
      for endpoint in updates {
        endpoints.update(endpoint);
        let box_id = &endpoint.peer.box_id;
        rate_limits.set_box(now, box_id, !endpoint.state.is_gone());
        if endpoint.state.is_gone() {
          self.balancer.borrow_mut().forget(box_id);
        }
      }
      rate_limits.set_lost_boxes(endpoints.lost());
      self.metrics.live_endpoints.set(i64::try_from(endpoints.live()).unwrap_or(i64::MAX));
      if let Some(deployment) = &self.settings.deployment {
        let (ratio, extra) = (deployment.retry_ratio, deployment.retry_extra);
        let limits = RetryLimits::share(ratio, extra, endpoints.count());
        self.retry_budget.borrow_mut().set_limits(limits);
      }
    }
    let services: BTreeSet<&ServiceName> = updates.iter().map(|one| &one.service).collect();
    for service in services {
      self.update_room_endpoints(service);
    }
    self.add_findings(updates);
  }

  /// Updates the backend servers from which the room of a service is forecast.
  fn update_room_endpoints(&self, service: &ServiceName) {
    let (now, endpoints) = (self.now().time, self.endpoints_of(service));
    self.rooms.borrow_mut().set_endpoints(now, service, &endpoints);
  }

  /// Applies other boxes' findings on requests that crash backend servers to the quarantine.
  fn add_findings(&self, updates: &[Endpoint]) {
    let mut quarantine = self.quarantine.borrow_mut();
    let changes = quarantine.add_findings(self.now().time, updates.iter());
    self.metrics.fingerprints_held.set(i64::try_from(quarantine.held()).unwrap_or(i64::MAX));
    for change in changes {
      match change {
        QuarantineChange::Cleared(fingerprint) => info!(
          self.log.logger, "a quarantined request ran to its end, and is allowed again";
          "fingerprint" => %fingerprint
        ),
        QuarantineChange::Held(fingerprint, crashes) => warn!(
          self.log.logger, "a request is quarantined: processes of backend servers ended while they ran it";
          "crashes" => crashes, "fingerprint" => %fingerprint
        ),
      }
    }
  }

  /// Returns whether a planned stop has begun.
  pub fn is_stopping(&self) -> bool {
    self.stopping.get().is_some()
  }

  /// Logs the outcome of a request and its reason.
  pub fn log_request(&self, record: &RequestRecord) {
    let last = record.attempts.last();
    let route = record.route.as_ref().map_or("none".into(), |(route, _)| route.to_string());
    let service = record.route.as_ref().map_or("none".into(), |(_, service)| service.to_string());
    let values = o!(
      "request_id" => record.id.to_string(), "line" => record.line.clone(),
      "status" => record.status,
      "version" => record.version.0, "route" => route,
      "service" => service, "took_us" => record.took_us,
      "box" => last.map_or("none".into(), |last| last.box_id.to_string()),
      "tries" => record.attempts.len()
    );
    let log = self.log.logger.new(values);
    match &record.refusal {
      Some(why) => {
        let tries: Vec<String> =
          record.attempts.iter().map(|one| format!("{}: {}", one.box_id, one.outcome)).collect();
        info!(log, #Log::REQUEST, "a request got no answer from a backend server";
          "why" => why, "tried" => tries.join("; "));
      }
      None => info!(log, #Log::REQUEST, "a request was answered"),
    }
  }

  /// Returns why the daemon should not get callers; `None` if it should.
  pub fn not_ready_reason(&self) -> Option<String> {
    if self.is_stopping() {
      return Some("stopping".into());
    }
    self.configuration().is_none().then(|| self.unconfigured_reason())
  }

  /// Returns why no configuration is in force.
  pub fn unconfigured_reason(&self) -> String {
    match self.refused_configuration.borrow().as_ref() {
      Some(refused) => format!("no configuration yet, for the store's was refused: {refused}"),
      None => "no configuration yet".into(),
    }
  }

  /// Returns the version that is known but not in force here yet.
  pub fn newer_version(&self) -> Option<Version> {
    self.newer_version.get()
  }

  /// Records that a version is known that is not in force here yet.
  pub fn note_newer_version(&self, version: Version) {
    info!(self.log.logger, "a newer version is known"; "version" => version.0);
    self.newer_version.set(Some(version));
  }

  /// Records that a configuration of the store was refused. The one in force stays.
  pub fn note_refused_configuration(&self, reason: &str, version: Option<Version>) {
    self.metrics.configuration.refused.inc();
    let refused = version.map_or("unknown".into(), |version| version.to_string());
    warn!(
      self.log.logger, "the store's configuration was refused";
      "version" => &refused, "reason" => reason
    );
    *self.refused_configuration.borrow_mut() = Some(format!("version {refused}: {reason}"));
  }

  /// Counts and logs a report that no backend server of this box sent. The quota of log lines applies.
  pub fn note_foreign_report(&self, call: &str, reason: &str) {
    self.metrics.reports_refused.inc();
    warn!(
      self.log.logger, #Log::REQUEST, "refused a report that is not from this box's backend server";
      "reason" => reason, "call" => call
    );
  }

  /// Counts and logs an unreadable entry of the directory.
  pub fn note_unreadable_entry(&self, entry: &UnreadableEntry) {
    self.metrics.entries_unreadable.inc();
    warn!(
      self.log.logger, "an entry of the directory cannot be read and is ignored";
      "reason" => &entry.reason, "revision" => entry.revision.count, "key" => %entry.key
    );
  }

  /// Returns a random seed for a decision.
  pub fn make_seed(&self) -> u64 {
    self.rng.borrow_mut().random()
  }

  /// Counts a link or forwarded request that was refused, and logs the first of each reason.
  pub fn note_refused_link(&self, reason: &'static str) {
    if self.metrics.link_refused(reason) == 0 {
      warn!(self.log.logger, "a peer was refused"; "reason" => reason);
    }
  }

  /// Returns the current time.
  pub fn now(&self) -> Moment {
    self.clock.now()
  }

  /// Returns the policy in force of a service.
  pub fn policy(&self, service: &ServiceName) -> Option<Policy> {
    self.configuration.borrow().as_ref()?.policy_of(service).cloned()
  }

  /// Returns the routes in force.
  pub fn router(&self) -> Rc<Router> {
    self.router.borrow().clone()
  }

  /// Returns the authentication code of a text, keyed with the fleet key.
  pub fn seal(&self, text: &str) -> Digest {
    Digest::from(self.settings.fleet_key.derive(text.as_bytes()))
  }

  /// Returns whether `seal` is the authentication code of `text`. Compares in constant time.
  pub fn is_sealed(&self, text: &str, seal: &Digest) -> bool {
    subtle::ConstantTimeEq::ct_eq(self.seal(text).as_bytes(), seal.as_bytes()).into()
  }

  /// Begins a planned stop that ends at `ends_at`. From now on callers are asked to reconnect elsewhere.
  pub fn start_stopping(&self, ends_at: Time) {
    self.stopping.set(Some(StopLimit { ends_at }));
  }

  /// Returns the deadline of a request that arrives now and whose caller waits until `deadline`; `None` if a
  /// planned stop leaves no time for it.
  pub fn answer_deadline(&self, deadline: Time) -> Option<Time> {
    match self.stopping.get() {
      Some(limit) => limit.deadline(self.now().time, deadline),
      None => Some(deadline),
    }
  }
}
