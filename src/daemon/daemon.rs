use super::*;

use super::listeners::DeploymentListeners;

/// A running daemon.
pub struct Daemon {
  callers: Rc<Server>,
  forward: Rc<Server>,
  /// The state that its servers share.
  pub node: Rc<Node>,
}

impl Daemon {
  /// Longest time in milliseconds between the announcement of a planned stop and the end of new work,
  /// so that other daemons receive the announcement. A short stop uses a third of its time for this.
  const ANNOUNCE_MAX_MS: u64 = 2_000;
  /// Milliseconds before its deadline at which a stop ends, so that the process exits by itself.
  const EXIT_MS: u64 = 300;
  /// Log lines about single requests that a stop cuts.
  const CUT_LINES_MAX: usize = 32;
  /// Milliseconds between two checks for open connections during a stop.
  const POLL_MS: u64 = 20;

  /// Starts a daemon on bound listeners, on the current thread's event loop.
  pub fn start(
    settings: Settings,
    listeners: Listeners,
    clock: Rc<dyn Clock>,
    log: Log,
    seed: u64,
  ) -> Rc<Self> {
    let (address, timeout_ms) = (settings.store_address, settings.store_timeout_ms);
    let (store, header_names): (Rc<dyn Store>, HeaderNames) = if settings.deployment.is_some() {
      let client = platform::StoreClient::new(address, timeout_ms, settings.store_value_bytes_max);
      (Rc::new(client), platform::header_names())
    } else {
      (Rc::new(HttpStore::new(address, timeout_ms)), HeaderNames::default())
    };
    let shared = Rc::new(Shared::new(settings, store, clock, log, header_names, seed));
    let distribution = DistributionLoop::new(shared.clone(), distribution(&shared));
    distribution.start(listeners.links);
    let serving = shared.clone();
    let options = |kind| ServerOptions::new(&shared.connections, kind);
    let limits = shared.caller_limits.clone();
    let of_callers = ServerOptions { limits, ..options(PeerKind::Callers) };
    let callers = Server::start_with(listeners.callers, of_callers, move |request| {
      proxy::serve_caller(serving.clone(), request)
    });
    let serving = shared.clone();
    let of_daemons = options(PeerKind::Daemons);
    let forward = Server::start_with(listeners.forward, of_daemons, move |request| {
      proxy::serve_peer(serving.clone(), request)
    });
    let node = Rc::new(Node { distribution, shared: shared.clone() });
    let daemon = Rc::new(Self { callers, forward, node: node.clone() });
    let serving = node.clone();
    let of_operators = options(PeerKind::Operators);
    Server::start_with(listeners.administration, of_operators, move |request| {
      administration::serve(serving.clone(), request)
    });
    match listeners.deployment {
      None => {
        monoio::spawn(health::watch(shared.clone(), node.distribution.clone()));
      }
      Some(listeners) => serve_platform(&node, listeners),
    }
    info!(shared.log.logger, "the daemon runs"; "box" => %shared.settings.box_id);
    daemon
  }

  /// Applies the settings that may change while the daemon runs, and logs those that need a restart.
  /// Settings that cannot be read change nothing.
  pub fn reload(&self, read: crate::settings::Result<Settings>) {
    let shared = &self.node.shared;
    let fresh = match read {
      Ok(fresh) => fresh,
      Err(err) => {
        warn!(shared.log.logger, "the settings stay as they are"; "why" => err.to_string());
        return;
      }
    };
    shared.log.set_level(fresh.log_level);
    shared.stop_deadline_ms.set(fresh.stop_deadline_ms);
    self.node.service_named(fresh.service.clone());
    let waiting = fresh.changes_needing_restart(&shared.settings).join(", ");
    info!(
      shared.log.logger, "the settings were read again";
      "in_force" => "log level, service, stop deadline", "wait_for_a_restart" => waiting
    );
  }

  /// Performs a planned stop: announces it to the fleet, then accepts no new requests and waits for
  /// running ones. Returns the number of connections that were cut at the deadline.
  pub async fn stop(&self) -> usize {
    let shared = &self.node.shared;
    let started = shared.now().time;
    info!(shared.log.logger, "a planned stop begins");
    let deadline_ms = shared.stop_deadline_ms.get();
    let ends_at = started.after(deadline_ms.saturating_sub(Self::EXIT_MS));
    shared.start_stopping(ends_at);
    self.node.distribution.handle(Event::EndpointState(EndpointState::Leaving));
    let announce_ms = Self::ANNOUNCE_MAX_MS.min(deadline_ms / 3);
    timer::sleep(Duration::from_millis(announce_ms)).await;
    shared.refuse_work();
    self.callers.stop();
    self.forward.stop();
    while self.open_connections() > 0 {
      if shared.now().time >= ends_at {
        return self.log_cut();
      }
      timer::sleep(Duration::from_millis(Self::POLL_MS)).await;
    }
    info!(shared.log.logger, "the planned stop ends, no connection was cut");
    0
  }

  /// Logs the connections and requests that the deadline of a stop cuts. Returns the number of
  /// connections.
  fn log_cut(&self) -> usize {
    let shared = &self.node.shared;
    let now = shared.now().time;
    warn!(
      shared.log.logger, "the stop's deadline cuts connections";
      "connections" => self.open_connections(), "of_callers" => self.callers.open(),
      "of_boxes" => self.forward.open()
    );
    for cut in shared.open_exchanges.borrow().iter().take(Self::CUT_LINES_MAX) {
      warn!(
        shared.log.logger, "the stop's deadline cuts a request";
        "request_id" => %cut.request_id, "from" => %cut.from,
        "age_ms" => now.since_ms(cut.started_at), "is_answered" => cut.answer.is_some(),
        "given_bytes" => cut.answer.map_or(0, |answer| answer.sent_bytes),
        "whole_bytes" => cut.answer.and_then(|answer| answer.total_bytes)
      );
    }
    self.open_connections()
  }

  /// Number of open connections from callers and other daemons.
  fn open_connections(&self) -> usize {
    self.callers.open() + self.forward.open()
  }
}

/// Starts the servers that only a platform calls.
fn serve_platform(node: &Rc<Node>, listeners: DeploymentListeners) {
  let serving = node.clone();
  let options = |kind| ServerOptions::new(&node.shared.connections, kind);
  Server::start_with(listeners.control, options(PeerKind::Reports), move |request| {
    platform::serve_control(serving.clone(), request)
  });
  let serving = node.clone();
  Server::start_with(listeners.readiness, options(PeerKind::Readiness), move |request| {
    platform::serve_readiness(serving.clone(), request)
  });
  let serving = node.shared.clone();
  Server::start_with(listeners.metrics, options(PeerKind::Monitors), move |_| {
    let text = serving.metrics.encode();
    async move { web::text(http::StatusCode::OK, text) }
  });
  monoio::spawn(health::identify_instance(node.clone()));
}

/// Returns the state machine that distributes configuration and endpoint updates: over relays where
/// the fleet itself accepts changes, directly from the store where a platform's operators write there.
fn distribution(shared: &Shared) -> Box<dyn Distribution> {
  let (now, seed) = (shared.now(), shared.make_seed());
  if shared.settings.deployment.is_none() {
    return Box::new(Distributor::new(now, seed, identity(shared)));
  }
  let source = Arc::new(platform::OperatorSource);
  Box::new(Follower::new(now, seed, identity(shared), source))
}

/// Time to live of a daemon's entry in the store, in milliseconds. Renewed after a third of it.
const FOLLOWER_LEASE_MS: u64 = 15_000;

/// Returns what the daemon announces of itself. It starts as draining, and takes requests once its
/// backend server is healthy.
fn identity(shared: &Shared) -> Identity {
  let settings = &shared.settings;
  let peer = Peer {
    address: settings.addresses.announced_links,
    box_id: settings.box_id.clone(),
    data_hall: settings.data_hall.clone(),
  };
  let endpoint = Endpoint {
    backend_starts: 0,
    findings: Vec::new(),
    forward_address: settings.addresses.announced_forward,
    link_mbps: settings.deployment.as_ref().map_or(0, Deployment::whole_link_mbps),
    incarnation: shared.names.incarnation,
    peer,
    region: settings.region.clone(),
    relay: None,
    sequence: 0,
    service: settings.service.clone(),
    slots: settings.backend_server.slots,
    software: None,
    state: EndpointState::Draining,
  };
  let timing = settings.profile.timing();
  // Batching may take two fifths of the time within which the platform wants a change in force; links
  // and slow calls need the rest.
  let batching_ms = settings.deployment.as_ref().map(|deployment| deployment.apply_ms * 2 / 5);
  let timing =
    Timing { endpoint_delay_ms: batching_ms.unwrap_or(timing.endpoint_delay_ms), ..timing };
  // Failed requests reveal that a box is gone, so its entry may stay for a while.
  let lease_ttl_ms = batching_ms.map_or(timing.lease_ttl_ms, |_| FOLLOWER_LEASE_MS);
  let timing = Timing { lease_ttl_ms, ..timing };
  let share_limits = settings.deployment.as_ref().map(|deployment| deployment.share_limits);
  let share_limits = share_limits.unwrap_or_default();
  Identity { endpoint, seeds: settings.peers.clone(), share_limits, timing }
}
