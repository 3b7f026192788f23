//! Random histories of one backend server's address: processes of two services end and start there, the settings follow,
//! reports come late, and the daemon is killed or suspended at any moment.

mod support;

use {
  arbtest::arbitrary::{Result, Unstructured},
  ferryyoke::{
    fleet::{BackendRecord, BackendReport, BackendState, Process},
    values::{InstanceId, ServiceName, Time},
  },
  support::histories,
};

const HISTORIES: u64 = 600;

/// Steps of a history.
const STEPS: u64 = 240;

/// Milliseconds of a step: the daemon looks at the address once a step.
const STEP_MS: u64 = 250;

/// Steps for which an address stays free before it is reused.
const FREE_STEPS: u64 = 8;

/// Steps between two reports.
const REPORT_STEPS: u64 = 6;

const SERVICES: [&str; 2] = ["archive", "intake"];

#[derive(Clone)]
struct Server {
  first_report_at: u64,
  id: InstanceId,
  sequence: u64,
  service: ServiceName,
}

struct Daemon {
  /// When it reads the changed settings.
  reads_at: Option<u64>,
  record: BackendRecord,
  /// The service that the settings named when it last read them.
  service: ServiceName,
  started_at: u64,
  /// When it last looked at the address.
  looked_at: u64,
}

struct World {
  daemon: Option<Daemon>,
  /// Since when the address is free.
  free_since: Option<u64>,
  reports: Vec<(u64, BackendReport)>,
  server: Option<Server>,
  servers: usize,
  settings: ServiceName,
  step: u64,
  /// Until when the daemon is suspended, or stays down.
  stopped_until: u64,
}

impl World {
  fn new(u: &mut Unstructured) -> Result<Self> {
    let settings = service(u)?;
    let mut world = Self {
      daemon: None,
      free_since: None,
      reports: Vec::new(),
      server: None,
      servers: 0,
      settings,
      step: 0,
      stopped_until: 0,
    };
    world.start_server(u)?;
    Ok(world)
  }

  fn now(&self) -> Time {
    Time(self.step * STEP_MS)
  }

  /// Starts a process of the service that the settings name.
  fn start_server(&mut self, u: &mut Unstructured) -> Result<()> {
    self.servers += 1;
    let id = format!("i-{}", self.servers).parse().expect("a name");
    let first_report_at = self.step + u.int_in_range(1..=12)?;
    let service = self.settings.clone();
    self.server = Some(Server { first_report_at, id, sequence: 0, service });
    self.free_since = None;
    Ok(())
  }

  fn advance(&mut self, u: &mut Unstructured) -> Result<()> {
    self.step += 1;
    self.change_server(u)?;
    self.change_daemon(u)?;
    self.send_reports(u)?;
    self.take_reports();
    self.run_daemon();
    Ok(())
  }

  fn change_server(&mut self, u: &mut Unstructured) -> Result<()> {
    if self.server.is_some() {
      if u.ratio(1, 30)? {
        self.server = None;
        self.free_since = Some(self.step);
      }
      return Ok(());
    }
    let is_free = self.free_since.is_some_and(|since| self.step >= since + FREE_STEPS);
    if !is_free || !u.ratio(1, 4)? {
      return Ok(());
    }
    // The platform changes the settings as it starts the process, and signals that or doesn't.
    self.settings = service(u)?;
    let reads_at = self.step + u.int_in_range(0..=4)?;
    if let Some(daemon) = &mut self.daemon {
      daemon.reads_at = Some(reads_at);
    }
    self.start_server(u)
  }

  fn change_daemon(&mut self, u: &mut Unstructured) -> Result<()> {
    if self.step < self.stopped_until {
      return Ok(());
    }
    if self.daemon.is_none() {
      self.daemon = Some(Daemon {
        looked_at: self.step,
        reads_at: None,
        record: BackendRecord::default(),
        service: self.settings.clone(),
        started_at: self.step,
      });
      return Ok(());
    }
    if u.ratio(1, 20)? {
      self.stopped_until = self.step + u.int_in_range(1..=14)?;
      let is_killed: bool = u.arbitrary()?;
      if is_killed {
        self.daemon = None;
      }
    }
    Ok(())
  }

  fn send_reports(&mut self, u: &mut Unstructured) -> Result<()> {
    let Some(server) = &mut self.server else {
      return Ok(());
    };
    let since_first = self.step.checked_sub(server.first_report_at);
    if since_first.is_some_and(|steps| steps % REPORT_STEPS == 0) {
      server.sequence += 1;
      let report = BackendReport {
        cold_left_ms: 0,
        leaving: false,
        process: Process { id: server.id.clone(), started_at: None },
        sequence: server.sequence,
        service: server.service.clone(),
        slots: 4,
        software: None,
      };
      let delay = if u.ratio(1, 3)? { u.int_in_range(1..=12)? } else { 0 };
      self.reports.push((self.step + delay, report));
    }
    Ok(())
  }

  fn take_reports(&mut self) {
    let now = self.now();
    let (due, later) =
      std::mem::take(&mut self.reports).into_iter().partition(|one| one.0 <= self.step);
    self.reports = later;
    let is_stopped = self.step < self.stopped_until;
    let due: Vec<(u64, BackendReport)> = due;
    for (_, report) in due {
      if let Some(daemon) = self.daemon.as_mut().filter(|_| !is_stopped) {
        daemon.record.reported(now, &report);
      }
    }
  }

  /// Lets the daemon read the settings, look at the address, and ask the health endpoint.
  fn run_daemon(&mut self) {
    let (step, now) = (self.step, self.now());
    if step < self.stopped_until {
      return;
    }
    let (settings, server) = (&self.settings, &self.server);
    let Some(daemon) = &mut self.daemon else {
      return;
    };
    if daemon.reads_at.take_if(|at| *at <= step).is_some() && daemon.service != *settings {
      daemon.service = settings.clone();
      daemon.record.service_named(settings);
    }
    if step - daemon.looked_at > FREE_STEPS {
      daemon.record.found_absent();
    }
    daemon.looked_at = step;
    if !daemon.record.needs_health_check() {
      return;
    }
    match server {
      Some(server) => daemon.record.health_checked(now, &server.id, None),
      None => daemon.record.became_unreachable(),
    }
  }

  /// Checks that no request reaches a process of another service. A request names the process for which it was checked,
  /// so only that one can run it.
  fn check(&self, seen: &mut Seen) {
    let Some((daemon, server)) = self.daemon.as_ref().zip(self.server.as_ref()) else {
      return;
    };
    let is_expected = daemon.record.process().is_some_and(|process| process.id == server.id);
    if is_expected && daemon.record.state() == BackendState::Ready {
      let own = daemon.record.service().unwrap_or(&daemon.service);
      assert_eq!(*own, server.service, "{:?}", daemon.record);
      seen.served += 1;
      seen.unreported += usize::from(daemon.record.service().is_none());
    }
    let is_looked_at = daemon.looked_at == self.step;
    if daemon.service == self.settings && is_looked_at {
      let caller = daemon.record.present_service().unwrap_or(&daemon.service);
      assert_eq!(*caller, server.service, "{:?}", daemon.record);
    }
    if daemon.started_at == self.step && is_looked_at {
      assert_eq!(
        daemon.record.state(),
        BackendState::Ready,
        "beside a living one: {:?}",
        daemon.record
      );
      seen.restarted += 1;
    }
    seen.refused += usize::from(daemon.record.unreported() == Some(&server.id));
  }
}

/// What the histories brought about.
#[derive(Default)]
struct Seen {
  refused: usize,
  restarted: usize,
  served: usize,
  unreported: usize,
}

fn service(u: &mut Unstructured) -> Result<ServiceName> {
  Ok(u.choose(&SERVICES)?.parse().expect("a name"))
}

// Guards against requests of the former service at a reused address, whatever fails meanwhile, and against a daemon that
// waits for a report of the process beside which it started.
#[test]
fn no_process_gets_requests_of_another_service_and_a_living_one_is_taken_at_once() {
  let mut seen = Seen::default();
  histories(HISTORIES, |u| {
    let mut world = World::new(u)?;
    for _ in 0..STEPS {
      world.advance(u)?;
      world.check(&mut seen);
    }
    Ok(())
  });
  let Seen { refused, restarted, served, unreported } = seen;
  println!("{served} served, {unreported} unreported, {restarted} restarted, {refused} refused");
  assert!(served > 10_000 && unreported > 1_000, "{served} steps, {unreported} without a report");
  assert!(restarted > 300 && refused > 100, "{restarted} restarts, {refused} waits for a report");
}
