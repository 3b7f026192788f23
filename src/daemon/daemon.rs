use super::*;

/// A running daemon.
pub struct Daemon {
  callers: Rc<Server>,
  /// What the daemon does for distribution.
  pub distribution: Rc<DistributionLoop>,
  forward: Rc<Server>,
  /// What its parts share.
  pub shared: Rc<Shared>,
}

impl Daemon {
  /// Milliseconds between the announcement of a planned stop and the end of new work: what other
  /// daemons need to hear of it.
  const ANNOUNCE_MS: u64 = 2_000;
  /// Milliseconds between two looks at what is still under way.
  const LOOK_MS: u64 = 20;

  /// Starts a daemon on bound listeners, on the present thread's event loop.
  pub fn start(
    settings: Settings,
    listeners: Listeners,
    clock: Rc<dyn Clock>,
    log: Log,
    seed: u64,
  ) -> Rc<Self> {
    let store = Rc::new(HttpStore::new(settings.store_address, settings.store_timeout_ms));
    let shared = Rc::new(Shared::new(settings, store, clock, log, seed));
    let distribution = DistributionLoop::new(shared.clone(), identity(&shared));
    distribution.start(listeners.links);
    let serving = shared.clone();
    let callers = Server::start(listeners.callers, move |request| {
      proxy::serve_caller(serving.clone(), request)
    });
    let serving = shared.clone();
    let forward =
      Server::start(listeners.forward, move |request| proxy::serve_peer(serving.clone(), request));
    let daemon = Rc::new(Self { callers, distribution, forward, shared: shared.clone() });
    let serving = daemon.clone();
    Server::start(listeners.administration, move |request| {
      administration::serve(serving.clone(), request)
    });
    monoio::spawn(health::watch(shared.clone(), daemon.distribution.clone()));
    info!(shared.log.logger, "the daemon runs"; "box" => shared.settings.box_id.as_str());
    daemon
  }

  /// Stops as planned: tells the fleet, finishes what is under way, and takes nothing new. Returns
  /// the connections that were cut at the deadline.
  pub async fn stop(&self) -> usize {
    let shared = &self.shared;
    let started = shared.now().time;
    info!(shared.log.logger, "a planned stop begins");
    shared.start_stopping();
    self.distribution.handle(Event::EndpointState(EndpointState::Leaving));
    monoio::time::sleep(Duration::from_millis(Self::ANNOUNCE_MS)).await;
    shared.refuse_work();
    self.callers.stop();
    self.forward.stop();
    while self.open() > 0 {
      if shared.now().time.since_ms(started) >= shared.settings.stop_deadline_ms {
        let cut = self.open();
        warn!(shared.log.logger, "the stop's deadline cuts connections"; "connections" => cut);
        return cut;
      }
      monoio::time::sleep(Duration::from_millis(Self::LOOK_MS)).await;
    }
    info!(shared.log.logger, "the planned stop ends whole");
    0
  }

  /// Connections of callers and daemons that are open.
  fn open(&self) -> usize {
    self.callers.open() + self.forward.open()
  }
}

/// How the daemon announces itself. It takes work once its backend server proves healthy.
fn identity(shared: &Shared) -> Identity {
  let settings = &shared.settings;
  let peer = Peer {
    address: settings.addresses.links,
    box_id: settings.box_id.clone(),
    data_hall: settings.data_hall.clone(),
  };
  let endpoint = Endpoint {
    forward_address: settings.addresses.forward,
    incarnation: shared.names.incarnation,
    peer,
    region: settings.region.clone(),
    relay: None,
    sequence: 0,
    service: settings.service.clone(),
    slots: settings.backend_server.slots,
    state: EndpointState::Draining,
  };
  Identity { endpoint, seeds: settings.peers.clone(), timing: settings.profile.timing() }
}
