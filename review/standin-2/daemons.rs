//! Real daemons as separate processes, with settings like those of a small deployment.

use std::{
  fs,
  net::{SocketAddr, TcpListener},
  path::PathBuf,
  process::{Child, Command, Stdio},
  sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
  },
  time::{Duration, Instant},
};

use crate::{
  backend::{Backend, Plan},
  http::ask,
  record::Record,
  store::Store,
};

pub type Result<T = (), E = String> = std::result::Result<T, E>;

/// A machine: its daemon and its backend server.
pub struct Machine {
  pub backend: Backend,
  pub callers: SocketAddr,
  daemon: Child,
  readiness: SocketAddr,
}

pub struct Fleet {
  directory: PathBuf,
  pub machines: Vec<Machine>,
  store: Store,
}

/// What a machine's backend server is.
pub struct Kind {
  pub service: &'static str,
  pub slots: u32,
  pub version: &'static str,
  pub plan: fn(&str) -> Plan,
}

impl Fleet {
  const START_MAX: Duration = Duration::from_secs(20);

  /// Starts the store, and a machine of each kind. Returns once all daemons are ready.
  pub fn start(kinds: &[Kind], configuration: &str, record: &Arc<Record>) -> Result<Self> {
    let failed = |err: std::io::Error| err.to_string();
    let name = format!("ferryyoke-review-{}", std::process::id());
    let directory = std::env::temp_dir().join(name);
    fs::create_dir_all(&directory).map_err(failed)?;
    let (store, store_address) = Store::start().map_err(failed)?;
    store.configure(configuration);
    let mut fleet = Self { directory, machines: Vec::new(), store };
    for (index, kind) in kinds.iter().enumerate() {
      let machine = fleet.start_machine(index, kind, store_address, record)?;
      fleet.machines.push(machine);
    }
    let until = Instant::now() + Self::START_MAX;
    let is_ready = |machine: &Machine| {
      let limit = Duration::from_secs(1);
      let path = "/ferryyoke/ready";
      let asked = ask(machine.readiness, "GET", path, "Host: readiness\r\n", b"", limit);
      asked.is_ok_and(|answer| answer.head.status() == 200)
    };
    while !fleet.machines.iter().all(is_ready) {
      if Instant::now() > until {
        return Err("the daemons do not become ready".into());
      }
      std::thread::sleep(Duration::from_millis(100));
    }
    // Traffic starts some seconds after the machines do.
    std::thread::sleep(Duration::from_secs(6));
    Ok(fleet)
  }

  fn start_machine(
    &self,
    index: usize,
    kind: &Kind,
    store: SocketAddr,
    record: &Arc<Record>,
  ) -> Result<Machine> {
    let failed = |err: std::io::Error| err.to_string();
    let held: Vec<TcpListener> = (0..8).map(|_| free_port()).collect::<Result<_>>()?;
    let ports: Vec<SocketAddr> =
      held.iter().map(TcpListener::local_addr).collect::<std::io::Result<_>>().map_err(failed)?;
    let [administration, callers, forward, links, control, metrics, readiness, app] = ports[..]
    else {
      return Err("eight ports are needed".into());
    };
    let mut held = held;
    let app_listener = held.pop().ok_or("a port is missing")?;
    drop(held);
    let (service, slots) = (kind.service, kind.slots);
    let settings = format!(
      r#"{{
  "addresses": {{ "administration": "{administration}", "callers": "{callers}", "forward": "{forward}", "links": "{links}" }},
  "backend_server": {{ "address": "{app}" }},
  "box": "sidecar-{index}",
  "data_hall": "hall-{hall}",
  "deployment": {{
    "apply": "2000ms", "control": "{control}", "link_mbps": 1000.0, "metrics": "{metrics}",
    "readiness": "{readiness}", "retry_extra": 62, "retry_ratio": 0.2, "retry_window": "10s"
  }},
  "fleet_key": {{ "environment": "FERRYYOKE_FLEET_KEY" }},
  "limits": {{ "descriptors": 4100, "memory_mb": 260 }},
  "log": {{ "format": "json" }},
  "profile": "prompt",
  "region": "region",
  "service": "{service}",
  "stop_deadline_ms": "6s",
  "store": {{ "address": "{store}", "timeout_ms": 1000, "value_bytes": 1048576 }}
}}"#,
      hall = index % 3
    );
    let path = self.directory.join(format!("sidecar-{index}.json"));
    fs::write(&path, settings).map_err(failed)?;
    let log = fs::File::create(self.directory.join(format!("sidecar-{index}.log")));
    let log = log.map_err(failed)?;
    let errors = log.try_clone().map_err(failed)?;
    // The command of deploy/system.toml.
    let daemon = Command::new("target/release/ferryyoke")
      .args(["run", "--settings"])
      .arg(&path)
      .env("FERRYYOKE_FLEET_KEY", "replace-this-fleet-key")
      .stdin(Stdio::null())
      .stdout(log)
      .stderr(errors)
      .spawn()
      .map_err(|err| format!("target/release/ferryyoke: {err}"))?;
    let id = format!("i-{service}-{index}");
    let backend = Backend::start(
      app_listener,
      control,
      (&id, service, kind.version),
      slots,
      record.clone(),
      Arc::new(kind.plan),
    );
    record.write(format!("machine {index}: {id} at {app}, requesters at {callers}"));
    Ok(Machine { backend, callers, daemon, readiness })
  }

  /// Copies lines of the daemons' logs that contain `part` into the record.
  pub fn quote_logs(&self, record: &Record, part: &str, most: usize) {
    for index in 0..self.machines.len() {
      let log = self.directory.join(format!("sidecar-{index}.log"));
      let log = fs::read_to_string(log).unwrap_or_default();
      let lines: Vec<&str> = log.lines().filter(|line| line.contains(part)).collect();
      record.write(format!("log of machine {index}: {} lines with `{part}`", lines.len()));
      for line in lines.iter().take(most) {
        record.write(format!("log of machine {index}: {line}"));
      }
    }
  }

  /// Writes a configuration, as the operators do.
  pub fn configure(&self, configuration: &str) {
    self.store.configure(configuration);
  }

  /// Whether all daemons still run.
  pub fn all_run(&mut self) -> bool {
    self.machines.iter_mut().all(|machine| matches!(machine.daemon.try_wait(), Ok(None)))
  }
}

/// Binds a free port below those that the kernel gives to outgoing connections, so that none of these
/// takes it before a daemon does.
fn free_port() -> Result<TcpListener> {
  const PORTS: std::ops::Range<u32> = 11_000..32_000;
  static TAKEN: AtomicU32 = AtomicU32::new(0);
  let count = PORTS.end - PORTS.start;
  for _ in 0..count {
    let offset = std::process::id().wrapping_mul(131) % count + TAKEN.fetch_add(1, Ordering::SeqCst);
    let port = (PORTS.start + offset % count) as u16;
    if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
      return Ok(listener);
    }
  }
  Err("no port is free".into())
}

impl Drop for Fleet {
  fn drop(&mut self) {
    for machine in &mut self.machines {
      machine.daemon.kill().ok();
      machine.daemon.wait().ok();
    }
    fs::remove_dir_all(&self.directory).ok();
  }
}
