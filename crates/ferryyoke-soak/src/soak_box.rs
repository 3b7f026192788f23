use super::*;

/// One box: its daemon, its backend server, and the proxies around the daemon.
pub struct SoakBox {
  /// The proxy between the daemon and the backend server.
  backend: FaultProxy,
  /// The daemon's address for callers.
  pub callers: SocketAddr,
  /// The daemon's address for reports of the backend server.
  pub control: SocketAddr,
  /// The daemon's address for operators.
  pub administration: SocketAddr,
  /// The daemon's own address for links, without the proxy.
  pub own_links: SocketAddr,
  /// The daemon's own address for forwarded requests, without the proxy.
  pub own_forward: SocketAddr,
  /// The daemon's address for metrics.
  pub metrics: SocketAddr,
  /// The backend server.
  pub backend_server: platform::BackendServer,
  daemon: RefCell<Option<Process>>,
  /// The limit on the daemon's open descriptors; `None` leaves the one of this process. Takes effect at the next start.
  pub descriptors_max: Cell<Option<u32>>,
  directory: PathBuf,
  executable: PathBuf,
  /// The proxy in front of the daemon's address for forwarded requests.
  forward: FaultProxy,
  _held_ports: Vec<HeldPort>,
  /// The number of the box.
  pub index: usize,
  /// Whether stopping the daemon by a signal simulates a suspended machine. Takes effect at the next start.
  pub is_suspended_when_stopped: Cell<bool>,
  /// Rate of the narrow link; 0 without one.
  kbytes_per_s: Cell<u64>,
  /// How often the daemon was started.
  pub life: Cell<u32>,
  /// The proxy in front of the daemon's address for links.
  links: FaultProxy,
  /// The daemon's address for readiness checks.
  pub readiness: SocketAddr,
  /// The proxy between the daemon and the store.
  pub store: FaultProxy,
}

impl SoakBox {
  /// Requests of a service for each of which the fleet may make one more retry.
  pub(super) const REQUESTS_A_RETRY: usize = 5;
  /// Retries beyond that in a window.
  pub(super) const RETRY_EXTRA: usize = 60;
  /// Number of data halls, assigned to boxes by turns.
  const HALLS: usize = 3;
  /// The services, assigned to boxes by turns.
  pub const SERVICES: [&'static str; 2] = ["archive", "registry"];
  /// The deadline of a planned stop in milliseconds.
  pub const STOP_MS: Ms = 6_000;

  /// Returns the service of a kind of request.
  pub(super) fn service_of(kind: Kind) -> &'static str {
    Self::SERVICES[usize::from(kind == Kind::Send)]
  }

  /// Returns the service of the box.
  pub(super) fn service(&self) -> &'static str {
    Self::SERVICES[self.index % Self::SERVICES.len()]
  }

  /// Prepares a box with its settings in `directory`. Doesn't start the daemon.
  pub fn prepare(
    index: usize,
    directory: &Path,
    executable: &Path,
    store: SocketAddr,
    record: &Rc<RefCell<Record>>,
    started: Instant,
  ) -> Result<Self> {
    let ports: Vec<HeldPort> = (0..8).map(|_| HeldPort::reserve()).collect::<Result<_>>()?;
    let address = |port: usize| ports[port].address;
    let service = Self::SERVICES[index % Self::SERVICES.len()];
    let (forward, links) = (FaultProxy::start(address(2))?, FaultProxy::start(address(3))?);
    let (backend, store) = (FaultProxy::start(address(4))?, FaultProxy::start(store)?);
    let settings = serde_json::json!({
      "addresses": {
        "administration": address(0), "announced_forward": forward.address,
        "announced_links": links.address, "callers": address(1), "forward": address(2),
        "links": address(3),
      },
      "backend_server": { "address": backend.address },
      "box": format!("box-{index}"),
      "data_hall": format!("hall-{}", index % Self::HALLS),
      "deployment": {
        "apply": "2s", "control": address(5), "link_mbps": 1_000.0, "metrics": address(6),
        "readiness": address(7), "retry_extra": Self::RETRY_EXTRA, "retry_ratio": 0.2, "retry_window": "10s",
      },
      "fleet_key": { "environment": "FERRYYOKE_FLEET_KEY" },
      "log": { "format": "json" },
      "profile": "prompt",
      "region": "region",
      "service": service,
      "stop_deadline_ms": Self::STOP_MS,
      "store": { "address": store.address, "timeout_ms": 1_000 },
    });
    fs::write(Self::settings_path(directory, index), settings.to_string())?;
    let backend_server = platform::BackendServer::start(
      web::Listener::bind(address(4))?,
      backend.clone(),
      address(5),
      service,
      &format!("box{index}"),
      record.clone(),
      started,
    );
    backend_server.call_through(address(1));
    Ok(Self {
      administration: address(0),
      own_forward: address(2),
      own_links: address(3),
      metrics: address(6),
      backend,
      callers: address(1),
      control: address(5),
      backend_server,
      daemon: RefCell::default(),
      descriptors_max: Cell::default(),
      directory: directory.into(),
      executable: executable.into(),
      forward,
      index,
      is_suspended_when_stopped: Cell::default(),
      kbytes_per_s: Cell::default(),
      life: Cell::default(),
      links,
      readiness: address(7),
      store,
      _held_ports: ports,
    })
  }

  fn settings_path(directory: &Path, index: usize) -> PathBuf {
    directory.join(format!("box-{index}.json"))
  }

  fn log_path(&self) -> PathBuf {
    self.directory.join(format!("box-{}-life-{}.log", self.index, self.life.get()))
  }

  /// Returns the daemon's log since its last start.
  pub fn log(&self) -> String {
    fs::read_to_string(self.log_path()).unwrap_or_default()
  }

  /// Starts the daemon unless it runs.
  pub fn start(&self) -> Result {
    if self.daemon.borrow().is_some() {
      return Ok(());
    }
    self.life.set(self.life.get() + 1);
    let settings = Self::settings_path(&self.directory, self.index).display().to_string();
    let mut arguments = vec!["run".into(), "--settings".into(), settings];
    if self.is_suspended_when_stopped.get() {
      arguments.insert(0, StoppedClocks::WORD.into());
    }
    let log = self.log_path();
    let daemon = match self.descriptors_max.get() {
      Some(most) => Process::start_with_descriptors(&self.executable, &arguments, &log, most)?,
      None => Process::start(&self.executable, &arguments, &log)?,
    };
    *self.daemon.borrow_mut() = Some(daemon);
    Ok(())
  }

  /// Returns what `measure` reads of the daemon's process.
  pub fn measure<T>(&self, measure: impl FnOnce(&Process) -> Result<T>) -> Result<T> {
    let daemon = self.daemon.borrow();
    let stopped = || Error::Unexpected(format!("the daemon of box {} does not run", self.index));
    measure(daemon.as_ref().ok_or_else(stopped)?)
  }

  /// Sets whether bytes from other daemons to this box, and bytes back to them, are withheld.
  pub fn silence(&self, towards: bool, back: bool) {
    self.forward.silence(towards, back);
    self.links.silence(towards, back);
  }

  /// Crashes the backend server's process, and restarts it under the same id after `down_ms`.
  pub async fn crash_backend_server(&self, down_ms: Ms) {
    self.backend.silence(true, true);
    self.backend.reset();
    self.backend_server.crash(down_ms).await;
    self.backend.reset();
    self.backend.silence(false, false);
  }

  /// Limits the bandwidth between the box and other daemons to `link_mbps` megabits per second in each direction. The
  /// daemon's settings name the limit from its next start on.
  pub fn narrow(&self, link_mbps: u64) -> Result {
    const KBYTES_PER_S_PER_MBPS: u64 = 125;
    self.kbytes_per_s.set(link_mbps * KBYTES_PER_S_PER_MBPS);
    self.forward.narrow(self.kbytes_per_s.get());
    self.change_settings(|settings| settings["deployment"]["link_mbps"] = link_mbps.into())
  }

  /// Sets the address at which the daemon expects its backend server.
  pub fn name_backend_server(&self, address: SocketAddr) -> Result {
    self.change_settings(|settings| {
      settings["backend_server"]["address"] = address.to_string().into();
    })
  }

  /// Sets the service that the settings file names.
  pub fn name_service(&self, service: &str) -> Result {
    self.change_settings(|settings| settings["service"] = service.into())
  }

  /// Replaces the settings file. Takes effect at the daemon's next start, or with SIGHUP.
  pub fn change_settings(&self, change: impl FnOnce(&mut serde_json::Value)) -> Result {
    let path = Self::settings_path(&self.directory, self.index);
    let mut settings: serde_json::Value = serde_json::from_str(&fs::read_to_string(&path)?)
      .map_err(|err| Error::Unexpected(err.to_string()))?;
    change(&mut settings);
    let fresh = path.with_extension("new");
    fs::write(&fresh, settings.to_string())?;
    Ok(fs::rename(fresh, path)?)
  }

  /// Returns the bytes that waited for the box's link ahead of each short message since the last call, and how many may
  /// by the rule: 6 ms of the link, what was sent while the proxy stood still for `stalls_ms`, and a piece of the proxy
  /// for each of two bodies under way.
  pub fn take_ahead(&self, stalls_ms: Ms) -> (Vec<u64>, u64) {
    const QUEUE_MS: u64 = 6;
    let may = (QUEUE_MS + stalls_ms) * self.kbytes_per_s.get() + 2 * FaultProxy::PIECE_BYTES as u64;
    (self.forward.take_ahead(), may)
  }

  /// Silences all open connections from other daemons to this box for good.
  pub fn sever(&self) {
    self.forward.sever();
    self.links.sever();
  }

  /// Lets the silenced connections deliver what was withheld, and go on.
  pub fn resume(&self) {
    self.forward.resume();
    self.links.resume();
  }

  /// Delays everything that other daemons send to this box.
  pub fn delay(&self, delay_ms: Ms) {
    self.forward.delay(delay_ms);
    self.links.delay(delay_ms);
  }

  /// Resets the connections from other daemons to this box.
  pub fn reset(&self) {
    self.forward.reset();
    self.links.reset();
  }

  /// Kills the daemon. Returns whether it ran.
  pub fn kill(&self) -> Result<bool> {
    let daemon = self.daemon.borrow_mut().take();
    daemon.map_or(Ok(false), |mut daemon| daemon.kill().map(|()| true))
  }

  /// Signals the daemon. Returns whether it runs.
  pub fn signal(&self, name: &str) -> Result<bool> {
    let daemon = self.daemon.borrow();
    daemon.as_ref().map_or(Ok(false), |daemon| daemon.signal(name).map(|()| true))
  }

  /// Returns the exit code if the daemon has exited. It can be started again then.
  pub fn exit_code(&self) -> Result<Option<i32>> {
    let mut daemon = self.daemon.borrow_mut();
    let code = daemon.as_mut().map(Process::exit_code).transpose()?.flatten();
    if code.is_some() {
      *daemon = None;
    }
    Ok(code)
  }
}
