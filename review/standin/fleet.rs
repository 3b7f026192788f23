//! The daemons of a small deployment, as separate processes started with the command of the deploy file.

use crate::backend::Backend;
use crate::http::{self, Reader};
use crate::record::Record;
use crate::store::Store;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub struct Machine {
  pub name: String,
  pub ip: String,
  pub backend: Arc<Backend>,
  pub outbound: SocketAddr,
  pub readiness: SocketAddr,
  pub control: SocketAddr,
  settings: PathBuf,
  log: PathBuf,
  daemon: Mutex<Option<Child>>,
}

/// What a deployment is made of: a zone and a service for each machine.
pub struct Place {
  pub zone: &'static str,
  pub service: &'static str,
}

pub struct Fleet {
  pub machines: Vec<Machine>,
  pub store: Store,
  pub record: Record,
  executable: PathBuf,
  /// Where the ids of the started processes are listed, for the script.
  pids: PathBuf,
}

/// A port that is free at an address and at 127.0.0.1, where a daemon binds one of its own. None is given twice, and all
/// lie below those that the kernel gives to outgoing connections.
fn free_port(ip: &str) -> u16 {
  static GIVEN: AtomicU16 = AtomicU16::new(0);
  const FIRST: u16 = 20_000;
  const COUNT: u16 = 12_000;
  let start = (std::process::id() % u32::from(COUNT / 200)) as u16 * 200;
  let ports = std::iter::repeat_with(|| {
    FIRST + (start + GIVEN.fetch_add(1, Ordering::SeqCst)) % COUNT
  });
  let is_free = |port: &u16| [ip, "127.0.0.1"].iter().all(|ip| TcpListener::bind((*ip, *port)).is_ok());
  ports.take(usize::from(COUNT)).find(is_free).expect("a free port")
}

/// Fills the template of the deploy file, as DEPLOY.md tells.
fn filled(template: &str, fields: &[(&str, String)]) -> String {
  let mut text = template.to_string();
  while let Some(start) = text.find("{{#") {
    let end = start + text[start..].find("}}").expect("a gap ends");
    let name = text[start + 3..end].to_string();
    let close = format!("{{{{/{name}}}}}");
    let over = text.find(&close).expect("a section ends");
    let inner = text[end + 2..over].to_string();
    let is_given = fields.iter().any(|(known, _)| *known == name);
    text.replace_range(start..over + close.len(), if is_given { &inner } else { "" });
  }
  for (name, value) in fields {
    text = text.replace(&format!("{{{{{name}}}}}"), value);
  }
  assert!(!text.contains("{{"), "the template has an unknown gap: {text}");
  text
}

impl Fleet {
  /// Prepares machines with a backend each. Starts no daemon.
  pub fn prepare(root: &Path, folder: &Path, record: &Record, places: &[Place], slots: usize) -> Fleet {
    let store = Store::start();
    let template = std::fs::read_to_string(root.join("deploy/settings.json")).expect("the template");
    let machines = places.iter().enumerate().map(|(index, place)| {
      let ip = format!("127.0.1.{}", 10 + index);
      let listener = TcpListener::bind((ip.as_str(), 0)).expect("a port for a backend");
      let instance = format!("i-{index:02}a7f3c{index:x}");
      let app = listener.local_addr().expect("an address");
      let backend =
        Backend::start(place.service, place.zone, &instance, listener, slots, record.clone());
      let range = free_port(&ip);
      let ports: Vec<u16> = (0..5).map(|_| free_port(&ip)).collect();
      let name = format!("sidecar-{}-{index}", place.zone);
      let fields = [
        ("PortRange.0", range.to_string()),
        ("PortRange.1", ports[4].to_string()),
        ("Listen.Outbound", format!("{ip}:{}", ports[0])),
        ("Listen.Inbound", format!("{ip}:{}", ports[1])),
        ("Listen.Readiness", format!("{ip}:{}", ports[2])),
        ("Listen.Control", format!("{ip}:{}", ports[3])),
        ("Ip", ip.clone()),
        ("AppAddr", app.to_string()),
        ("Node", name.clone()),
        ("Zone", place.zone.to_string()),
        ("Region", "kigali".to_string()),
        ("Service", place.service.to_string()),
        ("Limits.LinkMbps", "1000.0".to_string()),
        ("Bounds.ConfigApply", "2000ms".to_string()),
        ("Bounds.Grace", "6s".to_string()),
        ("Bounds.BudgetExtra", "62".to_string()),
        ("Bounds.BudgetRatio", "0.2".to_string()),
        ("Bounds.BudgetWindow", "10s".to_string()),
        ("Platform.Address", store.address.to_string()),
        ("Platform.ValueBytes", "1048576".to_string()),
      ];
      let settings = folder.join(format!("{name}.json"));
      std::fs::write(&settings, filled(&template, &fields)).expect("settings can be written");
      let address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
      Machine {
        outbound: address(ports[0]),
        readiness: address(ports[2]),
        control: address(ports[3]),
        log: folder.join(format!("{name}.log")),
        daemon: Mutex::new(None),
        name,
        ip: ip.clone(),
        backend,
        settings,
      }
    });
    let machines = machines.collect();
    let executable = root.join("target/release/ferryyoke");
    let pids = folder.join("pids");
    Fleet { machines, store, record: record.clone(), executable, pids }
  }

  /// Starts the daemon of a machine with the deploy file's command.
  pub fn start(&self, index: usize) {
    let machine = &self.machines[index];
    let log = std::fs::OpenOptions::new().create(true).append(true).open(&machine.log);
    let log = log.expect("a log can be written");
    let child = Command::new(&self.executable)
      .arg("run")
      .arg("--settings")
      .arg(&machine.settings)
      .env_clear()
      .env("PATH", "/usr/bin:/bin")
      .env("FERRYYOKE_FLEET_KEY", "replace-this-fleet-key")
      .stdin(Stdio::null())
      .stdout(log.try_clone().expect("a log"))
      .stderr(log)
      .spawn()
      .expect("the daemon starts: build it first");
    self.record.line(format!("{} is started", machine.name));
    let pids = std::fs::OpenOptions::new().create(true).append(true).open(&self.pids);
    writeln!(pids.expect("the list of processes"), "{}", child.id()).ok();
    *machine.daemon.lock().unwrap() = Some(child);
  }

  /// Writes another service into a machine's settings file, as the platform does, and tells its daemon.
  pub fn set_service(&self, index: usize, former: &str, service: &str) {
    let machine = &self.machines[index];
    let text = std::fs::read_to_string(&machine.settings).expect("settings");
    let changed = text.replace(
      &format!("\"service\": \"{former}\""),
      &format!("\"service\": \"{service}\""),
    );
    assert_ne!(text, changed, "the settings name the service");
    let fresh = machine.settings.with_extension("new");
    std::fs::write(&fresh, changed).expect("settings can be written");
    std::fs::rename(&fresh, &machine.settings).expect("settings can be replaced");
    machine.signal("HUP");
    self.record.line(format!("the settings of {} name {service}, and it gets SIGHUP", machine.name));
  }

  /// Starts all daemons and the reports of the backends, and waits until all daemons are ready.
  pub fn start_all(&self) -> bool {
    for index in 0..self.machines.len() {
      self.start(index);
      let machine = &self.machines[index];
      machine.backend.report(machine.control);
    }
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(15) {
      if self.machines.iter().all(Machine::is_ready) {
        return true;
      }
      std::thread::sleep(Duration::from_millis(100));
    }
    false
  }

  /// Kills all daemons.
  pub fn end(&self) {
    for machine in &self.machines {
      machine.kill();
    }
  }
}

impl Drop for Fleet {
  fn drop(&mut self) {
    self.end();
  }
}

impl Machine {
  pub fn is_ready(&self) -> bool {
    get(self.readiness, "/ferryyoke/ready") == Some(200)
  }

  pub fn kill(&self) {
    if let Some(mut child) = self.daemon.lock().unwrap().take() {
      child.kill().ok();
      child.wait().ok();
    }
  }

  /// Sends a signal to the daemon.
  pub fn signal(&self, name: &str) {
    if let Some(child) = self.daemon.lock().unwrap().as_ref() {
      Command::new("sh").arg("-c").arg(format!("kill -{name} {}", child.id())).status().ok();
    }
  }

  /// Whether the daemon runs.
  pub fn runs(&self) -> bool {
    let mut daemon = self.daemon.lock().unwrap();
    daemon.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
  }
}

pub fn get(address: SocketAddr, path: &str) -> Option<u16> {
  let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
  exchange(address, request.as_bytes(), Duration::from_secs(1)).map(|answer| answer.status())
}

pub fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> Option<http::Message> {
  let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
  stream.set_nodelay(true).ok()?;
  stream.set_read_timeout(Some(limit)).ok()?;
  stream.write_all(request).ok()?;
  Reader::new(stream).answer().ok()?
}
