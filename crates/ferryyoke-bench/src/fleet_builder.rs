use super::*;

/// Configures and starts a [`Fleet`].
#[derive(Clone, Debug)]
pub struct FleetBuilder {
  boxes: usize,
  data_halls: usize,
  executable: PathBuf,
  log_level: &'static str,
  profile: String,
  services: Vec<String>,
  slots: u32,
  tokens: Vec<serde_json::Value>,
}

/// The ports of one box, reserved while the fleet lives.
struct Ports([HeldPort; 5]);

impl FleetBuilder {
  /// Creates a builder for daemons that run `executable`, which must accept [`AS_FERRYYOKE`] as its
  /// first argument.
  pub fn new(executable: impl Into<PathBuf>) -> Self {
    Self {
      boxes: 6,
      data_halls: 3,
      executable: executable.into(),
      log_level: "info",
      profile: "prompt".into(),
      services: vec!["archive".into(), "certification".into(), "intake".into()],
      slots: 12,
      tokens: Vec::new(),
    }
  }

  /// Sets the number of boxes.
  #[must_use]
  pub fn boxes(self, boxes: usize) -> Self {
    Self { boxes, ..self }
  }

  /// Sets the number of data halls. Boxes are assigned to them in turn.
  #[must_use]
  pub fn data_halls(self, data_halls: usize) -> Self {
    Self { data_halls, ..self }
  }

  /// Sets the log level of the daemons.
  #[must_use]
  pub fn log_level(self, log_level: &'static str) -> Self {
    Self { log_level, ..self }
  }

  /// Sets the distribution profile.
  #[must_use]
  pub fn profile(self, profile: &str) -> Self {
    Self { profile: profile.into(), ..self }
  }

  /// Sets the services. Boxes are assigned to them in turn.
  #[must_use]
  pub fn services(self, services: &[&str]) -> Self {
    Self { services: services.iter().map(ToString::to_string).collect(), ..self }
  }

  /// Sets how many requests each backend server may run at once.
  #[must_use]
  pub fn slots(self, slots: u32) -> Self {
    Self { slots, ..self }
  }

  /// Adds an administration token. With one or more tokens, administration refuses statements
  /// without a valid token.
  #[must_use]
  pub fn token(mut self, text: &str, operator: &str, role: &str, team: &str) -> Self {
    let digest = Digest::of(text.as_bytes());
    self.tokens.push(serde_json::json!({
      "digest": digest, "operator": operator, "role": role, "team": team,
    }));
    self
  }

  /// Starts the store, the backend servers and the daemons.
  pub fn start(self) -> Result<Fleet> {
    let mut fleet = self.prepare()?;
    for one in &mut fleet.boxes {
      one.start()?;
    }
    Ok(fleet)
  }

  /// Starts the store and the backend servers and writes the daemons' settings, but starts no
  /// daemon.
  pub fn prepare(self) -> Result<Fleet> {
    let directory = tempfile::tempdir()?;
    let store_port = HeldPort::reserve()?;
    let store_address = store_port.address;
    let ports: Vec<Ports> = (0..self.boxes).map(|_| Ports::reserve()).collect::<Result<_>>()?;
    let peers = self.peers(&ports)?;
    let mut boxes = Vec::new();
    for (index, ports) in ports.iter().enumerate() {
      let one = self.fleet_box(index, ports, directory.path());
      let settings = self.settings(index, ports, &peers, store_address);
      fs::write(one.settings_path(), settings.to_string())?;
      boxes.push(one);
    }
    let store = self.start_store(directory.path(), store_address)?;
    let backend_servers = self.start_backend_servers(directory.path(), &boxes)?;
    Ok(Fleet {
      backend_servers,
      boxes,
      directory,
      executable: self.executable,
      _held_ports: ports.into_iter().flat_map(|ports| ports.0).chain([store_port]).collect(),
      pool: Rc::new(web::Pool::new(Fleet::TIMEOUT_MS)),
      store,
      store_address,
    })
  }

  fn box_id(index: usize) -> String {
    format!("box-{index:03}")
  }

  fn data_hall(&self, index: usize) -> String {
    format!("hall-{}", index % self.data_halls)
  }

  fn service(&self, index: usize) -> String {
    self.services[index % self.services.len()].clone()
  }

  fn peers(&self, ports: &[Ports]) -> Result<Vec<serde_json::Value>> {
    let peer = |(index, ports): (usize, &Ports)| {
      Ok(serde_json::json!({
        "address": ports.address(Ports::LINKS),
        "box": Self::box_id(index),
        "data_hall": self.data_hall(index),
      }))
    };
    ports.iter().enumerate().map(peer).collect()
  }

  fn fleet_box(&self, index: usize, ports: &Ports, directory: &Path) -> FleetBox {
    FleetBox {
      administration: ports.address(Ports::ADMINISTRATION),
      backend_server: ports.address(Ports::BACKEND_SERVER),
      box_id: Self::box_id(index),
      callers: ports.address(Ports::CALLERS),
      daemon: None,
      directory: directory.into(),
      executable: self.executable.clone(),
      pool: Rc::new(web::Pool::new(Fleet::TIMEOUT_MS)),
      service: self.service(index),
    }
  }

  fn settings(
    &self,
    index: usize,
    ports: &Ports,
    peers: &[serde_json::Value],
    store: SocketAddr,
  ) -> serde_json::Value {
    serde_json::json!({
      "addresses": {
        "administration": ports.address(Ports::ADMINISTRATION),
        "callers": ports.address(Ports::CALLERS),
        "forward": ports.address(Ports::FORWARD),
        "links": ports.address(Ports::LINKS),
      },
      "backend_server": {
        "address": ports.address(Ports::BACKEND_SERVER), "connections": 130, "slots": self.slots,
      },
      "box": Self::box_id(index),
      "data_hall": self.data_hall(index),
      "fleet_key": { "environment": "FERRYYOKE_FLEET_KEY" },
      "log": { "level": self.log_level },
      "peers": peers,
      "profile": self.profile,
      "region": format!("region-{}", index % self.data_halls / 2),
      "service": self.service(index),
      "stop_deadline_ms": 60_000,
      "store": { "address": store },
      "tokens": self.tokens,
    })
  }

  fn start_store(&self, directory: &Path, address: SocketAddr) -> Result<Process> {
    let words = ["stand-in", "store", "--listen", &address.to_string()].map(String::from);
    Process::start(&self.executable, &words, &directory.join("store.log"))
  }

  fn start_backend_servers(&self, directory: &Path, boxes: &[FleetBox]) -> Result<Process> {
    let mut words = vec!["stand-in".to_string(), "backend-servers".into()];
    for one in boxes {
      words.push("--server".into());
      words.push(format!("{}={}", one.box_id, one.backend_server));
    }
    Process::start(&self.executable, &words, &directory.join("backend-servers.log"))
  }
}

impl Ports {
  const ADMINISTRATION: usize = 0;
  const BACKEND_SERVER: usize = 1;
  const CALLERS: usize = 2;
  const FORWARD: usize = 3;
  const LINKS: usize = 4;

  /// Reserves five ports chosen by the kernel.
  fn reserve() -> Result<Self> {
    let reserve = HeldPort::reserve;
    Ok(Self([reserve()?, reserve()?, reserve()?, reserve()?, reserve()?]))
  }

  fn address(&self, index: usize) -> SocketAddr {
    self.0[index].address
  }
}
