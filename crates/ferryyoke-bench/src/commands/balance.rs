//! Compares ferryyoke's load balancing with simpler strategies in a simulation, without processes.
//!
//! Eight daemons send to six backend servers with twelve slots each. One server is slow, one is
//! slow but reports that it is idle, and one is slow for its first five seconds.

use super::*;

use {
  ferryyoke::{
    fleet::{Endpoint, EndpointState, Peer},
    requests::{Balancer, Completion, Condition, SelectionCriteria},
    values::{BoxId, Incarnation, Time},
  },
  rand::{Rng, SeedableRng},
  rand_chacha::ChaCha8Rng,
};

const DAEMONS: usize = 8;
const SERVERS: usize = 6;
const SLOTS: usize = 12;
/// Requests that may wait at each backend server.
const QUEUE: usize = 24;
/// Mean time of a request on a normal backend server, in microseconds.
const WORK_US: u64 = 10_000;
/// Deadline of a request in milliseconds: four times the mean time on a normal backend server.
const TARGET_MS: u64 = 40;
/// Simulated seconds per run.
const SECONDS: u64 = 30;
/// Share of all slots that the load would keep busy if every backend server were normal.
const LOAD: f64 = 0.5;

pub fn arguments() -> Command {
  Command::new("balance")
    .about("Latency and refusals with a slow, a lying and a cold backend server, by way of choice")
    .arg(number("runs", "5", "Runs of each way, each with another seed"))
    .arg(json())
}

#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Strategy {
  LeastRequests,
  Product,
  Random,
  RoundRobin,
}

pub fn measure(matches: &ArgMatches) {
  for strategy in
    [Strategy::Product, Strategy::LeastRequests, Strategy::Random, Strategy::RoundRobin]
  {
    let (mut p50, mut p99, mut refused) = (Sample::default(), Sample::default(), Sample::default());
    for seed in 0..get(matches, "runs") {
      let result = Simulation::new(strategy, seed as u64).run();
      p50.add(result.quantile_ms(0.5));
      p99.add(result.quantile_ms(0.99));
      refused.add(count_u64(result.failed) / count_u64(result.failed + result.latency_us.len()));
    }
    print(&serde_json::json!({
      "measure": "balance",
      "way": strategy,
      "p50_ms": p50.spread(),
      "p99_ms": p99.spread(),
      "refused_share": refused.spread(),
    }));
  }
}

/// The state of one simulated daemon.
struct Daemon {
  balancer: Balancer,
  in_flight: [u32; SERVERS],
  next: usize,
}

/// A simulated backend server.
struct Server {
  /// When each slot becomes free, in microseconds.
  free_at_us: [u64; SLOTS],
  /// When each queued request gets a slot, in microseconds.
  waiting_until_us: Vec<u64>,
}

struct Simulation {
  daemons: Vec<Daemon>,
  endpoints: Vec<Endpoint>,
  /// Requests in progress: end time in microseconds and arrival number, mapped to the daemon, the
  /// server and the latency in microseconds.
  ends: BTreeMap<(u64, u64), (usize, usize, u64)>,
  result: LoadResult,
  rng: ChaCha8Rng,
  servers: Vec<Server>,
  strategy: Strategy,
}

impl Simulation {
  fn new(strategy: Strategy, seed: u64) -> Self {
    let daemon = |_| Daemon { balancer: Balancer::default(), in_flight: [0; SERVERS], next: 0 };
    let server = |_| Server { free_at_us: [0; SLOTS], waiting_until_us: Vec::new() };
    Self {
      daemons: (0..DAEMONS).map(daemon).collect(),
      endpoints: (0..SERVERS).map(endpoint).collect(),
      ends: BTreeMap::new(),
      result: LoadResult::new(),
      rng: ChaCha8Rng::seed_from_u64(seed),
      servers: (0..SERVERS).map(server).collect(),
      strategy,
    }
  }

  #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]
  fn run(mut self) -> LoadResult {
    let mean_us = WORK_US as f64 / (LOAD * (SERVERS * SLOTS) as f64);
    let mut now_us = 0;
    let mut number = 0;
    while now_us < SECONDS * 1_000_000 {
      let pause_us = -mean_us * (1.0 - self.rng.random::<f64>()).ln();
      now_us += pause_us as u64 + 1;
      number += 1;
      self.complete_until(now_us);
      self.start_request(now_us, number);
    }
    self.result
  }

  fn start_request(&mut self, now_us: u64, number: u64) {
    let daemon = self.rng.random_range(0..DAEMONS);
    let server = self.choose(now_us, daemon);
    let box_id = self.box_id(server);
    let now = Time(now_us / 1_000);
    self.daemons[daemon].in_flight[server] += 1;
    self.daemons[daemon].balancer.started(&box_id);
    let work_us = self.work_us(now_us, server);
    if let Some(end_us) = self.servers[server].enqueue(now_us, work_us) {
      self.ends.insert((end_us, number), (daemon, server, end_us - now_us));
      return;
    }
    self.result.record(Duration::ZERO, false);
    self.daemons[daemon].in_flight[server] -= 1;
    self.daemons[daemon].balancer.completed(now, &box_id, Completion::Shed { condition: None });
    self.daemons[daemon].balancer.ended(&box_id);
  }

  fn complete_until(&mut self, now_us: u64) {
    while let Some(entry) = self.ends.first_entry().filter(|entry| entry.key().0 <= now_us) {
      let ((end_us, _), (daemon, server, latency_us)) = entry.remove_entry();
      let box_id = self.box_id(server);
      let load_percent = self.servers[server].reported_load(end_us, server);
      let condition = Some(Condition { load_percent, ..Condition::default() });
      let now = Time(end_us / 1_000);
      self.result.record(Duration::from_micros(latency_us), true);
      let daemon = &mut self.daemons[daemon];
      daemon.in_flight[server] -= 1;
      daemon.balancer.completed(
        now,
        &box_id,
        Completion::Served { condition, latency_us: Some(latency_us) },
      );
      daemon.balancer.ended(&box_id);
    }
  }

  fn choose(&mut self, now_us: u64, daemon: usize) -> usize {
    let daemon = &mut self.daemons[daemon];
    match self.strategy {
      Strategy::LeastRequests => {
        let fewest = daemon.in_flight.iter().copied().min().unwrap_or(0);
        let best: Vec<usize> =
          (0..SERVERS).filter(|server| daemon.in_flight[*server] == fewest).collect();
        best[self.rng.random_range(0..best.len())]
      }
      Strategy::Product => {
        let candidates: Vec<&Endpoint> = self.endpoints.iter().collect();
        let hall = &self.endpoints[0].peer.data_hall;
        let now = Time(now_us / 1_000);
        let criteria = SelectionCriteria {
          answer_bytes: 0,
          body_bytes: 0,
          due_ms: TARGET_MS,
          near_box: None,
          repeatable: true,
        };
        let choice =
          daemon.balancer.choose(now, &candidates, hall, &criteria, |_| None, &mut self.rng);
        let chosen = choice.chosen.expect("every backend server is usable");
        self.endpoints.iter().position(|one| *one == chosen).expect("the choice is a candidate")
      }
      Strategy::Random => self.rng.random_range(0..SERVERS),
      Strategy::RoundRobin => {
        daemon.next += 1;
        daemon.next % SERVERS
      }
    }
  }

  fn box_id(&self, server: usize) -> BoxId {
    self.endpoints[server].peer.box_id.clone()
  }

  /// Returns how long a request takes on a server. Servers 0 and 1 are slow (server 1 reports no
  /// load), and server 2 is slow for the first five seconds.
  #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]
  fn work_us(&mut self, now_us: u64, server: usize) -> u64 {
    let slowdown = match server {
      0 => 5.0,
      1 => 3.0,
      2 if now_us < 5_000_000 => 4.0,
      _ => 1.0,
    };
    let spread = 0.5 + self.rng.random::<f64>();
    (WORK_US as f64 * slowdown * spread) as u64
  }
}

impl Server {
  /// Adds a request and returns when it ends, in microseconds; `None` if the queue is full.
  fn enqueue(&mut self, now_us: u64, work_us: u64) -> Option<u64> {
    self.waiting_until_us.retain(|until| *until > now_us);
    let slot = self.free_at_us.iter_mut().min_by_key(|free_at| **free_at)?;
    let start_us = now_us.max(*slot);
    if start_us > now_us {
      if self.waiting_until_us.len() >= QUEUE {
        return None;
      }
      self.waiting_until_us.push(start_us);
    }
    *slot = start_us + work_us;
    Some(*slot)
  }

  /// Returns the load in percent that the server reports. Server 1 always reports 0.
  fn reported_load(&self, now_us: u64, server: usize) -> u32 {
    if server == 1 {
      return 0;
    }
    let busy = self.free_at_us.iter().filter(|free_at| **free_at > now_us).count();
    u32::try_from(busy * 100 / SLOTS).unwrap_or(100)
  }
}

fn endpoint(index: usize) -> Endpoint {
  let port = 1 + u16::try_from(index).expect("the index fits a port");
  let address = ([127, 0, 0, 1], port).into();
  Endpoint {
    backend_starts: 0,
    findings: Vec::new(),
    link_mbps: 0,
    forward_address: address,
    incarnation: Incarnation(1),
    peer: Peer {
      address,
      box_id: format!("box-{index}").parse().expect("a valid name"),
      data_hall: "hall".parse().expect("a valid name"),
    },
    region: "region".parse().expect("a valid name"),
    relay: None,
    sequence: 1,
    service: "service".parse().expect("a valid name"),
    slots: 12,
    software: None,
    state: EndpointState::Live,
  }
}
