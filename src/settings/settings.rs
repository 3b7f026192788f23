use super::*;

/// The settings that a daemon reads at start.
#[derive(Clone, Debug)]
pub struct Settings {
  /// The addresses that the daemon listens on and announces.
  pub addresses: Addresses,
  /// The backend server on the same box.
  pub backend_server: BackendServer,
  /// The box that it runs on.
  pub box_id: BoxId,
  /// The data hall of the box.
  pub data_hall: DataHall,
  /// The settings of the platform. `None` if the daemon runs without one.
  pub deployment: Option<Deployment>,
  /// The key that all daemons of the fleet share.
  pub fleet_key: FleetKey,
  /// What the process may take of its machine.
  pub limits: ProcessLimits,
  /// The format of log lines.
  pub log_format: LogFormat,
  /// The lowest level of lines that are logged.
  pub log_level: LogLevel,
  /// Boxes of the fleet, as the platform lists them. May be outdated and incomplete.
  pub peers: Vec<Peer>,
  /// The trade-off between speed and cost of distribution.
  pub profile: Profile,
  /// The region of the box.
  pub region: Region,
  /// The service that the backend server serves.
  pub service: ServiceName,
  /// Longest planned stop in milliseconds. Requests that run longer are cut off.
  pub stop_deadline_ms: u64,
  /// The address of the platform's store.
  pub store_address: SocketAddr,
  /// Longest wait for a reply of the store, in milliseconds.
  pub store_timeout_ms: u64,
  /// Largest value in bytes that the platform's store accepts.
  pub store_value_bytes_max: usize,
  /// Tokens of the administration API. May be empty if the API listens on a loopback address.
  pub tokens: Vec<Token>,
}

impl Settings {
  const KEYS: [&str; 12] = [
    "addresses",
    "backend_server",
    "box",
    "data_hall",
    "fleet_key",
    "log",
    "peers",
    "profile",
    "region",
    "service",
    "stop_deadline_ms",
    "store",
  ];
  const NAME: &str = "a name that is not empty";

  /// Reads and checks a settings file.
  pub fn load(path: &Path) -> Result<Self> {
    let unreadable =
      |err: io::Error| Error::Unreadable { path: path.into(), reason: err.to_string() };
    let text = fs::read_to_string(path).map_err(unreadable)?;
    Self::parse(&text, &|name| std::env::var(name).ok())
  }

  /// Parses and checks the text of a settings file. `environment` looks up environment variables.
  pub fn parse(text: &str, environment: &Environment) -> Result<Self> {
    let value: serde_json::Value =
      serde_json::from_str(text).map_err(|err| Error::Json { reason: err.to_string() })?;
    let faults = RefCell::default();
    let settings = Self::read(&Node::root(&value, &faults), environment);
    let faults = faults.into_inner();
    match settings.filter(|_| faults.is_empty()) {
      Some(settings) => Ok(settings),
      None => Err(Error::Faults(faults)),
    }
  }

  /// The keys that differ from `running` and take effect only after a restart.
  pub fn changes_needing_restart(&self, running: &Self) -> Vec<&'static str> {
    let compared = [
      ("addresses", self.addresses != running.addresses),
      ("backend_server", self.backend_server != running.backend_server),
      ("box", self.box_id != running.box_id),
      ("data_hall", self.data_hall != running.data_hall),
      ("deployment", self.deployment != running.deployment),
      ("limits", self.limits != running.limits),
      ("peers", self.peers != running.peers),
      ("region", self.region != running.region),
      (
        "store",
        (self.store_address, self.store_value_bytes_max)
          != (running.store_address, running.store_value_bytes_max),
      ),
    ];
    compared.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
  }

  fn read(root: &Node, environment: &Environment) -> Option<Self> {
    let keys: Vec<&str> =
      Self::KEYS.into_iter().chain(["deployment", "limits", "tokens"]).collect();
    root.object(&keys);
    let addresses = Addresses::read(&root.field("addresses"));
    let backend_server = BackendServer::read(&root.field("backend_server"));
    let box_id = root.field("box").text(Self::NAME);
    let data_hall = root.field("data_hall").text(Self::NAME);
    let deployment_node = root.field("deployment");
    let deployment = deployment_node.is_present().then(|| Deployment::read(&deployment_node));
    let fleet_key = FleetKey::read(&root.field("fleet_key"), environment);
    let limits = ProcessLimits::read(&root.field("limits"));
    let (log_format, log_level) = Self::read_log(&root.field("log"));
    let peers: Option<Vec<Peer>> =
      root.field("peers").items().iter().map(Self::read_peer).collect();
    let profile =
      root.field("profile").text_or(Profile::default(), "\"balanced\", \"frugal\" or \"prompt\"");
    let region = root.field("region").text(Self::NAME);
    let service = root.field("service").text(Self::NAME);
    let stop_deadline_ms = Self::read_stop_deadline(&root.field("stop_deadline_ms"));
    let (store_address, store_timeout_ms, store_value_bytes_max) =
      Self::read_store(&root.field("store"));
    let tokens: Option<Vec<Token>> = root.field("tokens").items().iter().map(Token::read).collect();
    Self::check_exposure(root, addresses.as_ref(), tokens.as_deref());
    Some(Self {
      addresses: addresses?,
      backend_server: backend_server?,
      box_id: box_id?,
      data_hall: data_hall?,
      deployment: match deployment {
        None => None,
        Some(deployment) => Some(deployment?),
      },
      fleet_key: fleet_key?,
      limits: limits?,
      log_format: log_format?,
      log_level: log_level?,
      peers: peers?,
      profile: profile?,
      region: region?,
      service: service?,
      stop_deadline_ms: stop_deadline_ms?,
      store_address: store_address?,
      store_timeout_ms: store_timeout_ms?,
      store_value_bytes_max: store_value_bytes_max?,
      tokens: tokens?,
    })
  }

  /// Checks that an administration API beyond loopback has tokens.
  fn check_exposure(root: &Node, addresses: Option<&Addresses>, tokens: Option<&[Token]>) {
    let reachable = addresses.is_some_and(|one| !one.administration.ip().is_loopback());
    if reachable && tokens.is_some_and(<[Token]>::is_empty) {
      root.field("tokens").fault("at least one token, for administration is not on loopback");
    }
  }

  fn read_log(node: &Node) -> (Option<LogFormat>, Option<LogLevel>) {
    if !node.is_present() {
      return (Some(LogFormat::default()), Some(LogLevel::default()));
    }
    node.object(&["format", "level"]);
    let format = node.field("format").text_or(LogFormat::default(), "\"json\" or \"terminal\"");
    let level = node
      .field("level")
      .text_or(LogLevel::default(), "\"debug\", \"error\", \"info\", \"trace\" or \"warning\"");
    (format, level)
  }

  fn read_peer(node: &Node) -> Option<Peer> {
    node.object(&["address", "box", "data_hall"]);
    let address = node.field("address").address();
    let box_id = node.field("box").text(Self::NAME);
    let data_hall = node.field("data_hall").text(Self::NAME);
    Some(Peer { address: address?, box_id: box_id?, data_hall: data_hall? })
  }

  /// Reads a number of milliseconds, or a duration with a unit.
  fn read_stop_deadline(node: &Node) -> Option<u64> {
    const DEFAULT_MS: u64 = 600_000;
    if node.is_text() { node.duration_ms() } else { node.number_or(DEFAULT_MS, 1, 86_400_000) }
  }

  fn read_store(node: &Node) -> (Option<SocketAddr>, Option<u64>, Option<usize>) {
    /// 64 MB. A box can hold several values of this size in memory.
    const VALUE_BYTES_CAP: u64 = 1 << 26;
    node.object(&["address", "timeout_ms", "value_bytes"]);
    let address = node.field("address").address();
    let timeout_ms = node.field("timeout_ms").number_or(1_000, 1, 60_000);
    let value_bytes =
      node.field("value_bytes").number_or(VALUE_BYTES_MAX as u64, 1, VALUE_BYTES_CAP);
    (address, timeout_ms, value_bytes.and_then(|bytes| usize::try_from(bytes).ok()))
  }
}
