//! Measures the latency and processor time that daemons add to a request, compared with direct
//! requests in the same run.

use super::*;

/// Duration of each path's load in one round, in seconds.
const ROUND_SECONDS: u64 = 4;

pub fn arguments() -> Command {
  Command::new("overhead")
    .about("Added latency, requests per second and processor time of the way through the daemons")
    .arg(number("share", "50", "Percent of the highest load of two daemons that is sent"))
    .arg(number("rounds", "5", "Rounds; each goes the direct way, one daemon, and two daemons"))
    .arg(json())
}

/// A path from the load generator to the backend server.
struct RequestPath {
  address: SocketAddr,
  name: &'static str,
  path: &'static str,
}

pub async fn measure(matches: &ArgMatches) -> Result {
  // One box per service: a request for the first service passes one daemon when it is sent to the
  // first box, and two daemons when it is sent to the second.
  let fleet = FleetBuilder::new(executable()?)
    .boxes(2)
    .data_halls(1)
    .services(&["archive", "intake"])
    .log_level("warning")
    .slots(100)
    .start()?;
  fleet.configure().await?;
  let request_paths = [
    RequestPath { address: fleet.boxes[0].backend_server, name: "direct", path: "/archive/1" },
    RequestPath { address: fleet.boxes[0].callers, name: "one_daemon", path: "/archive/1" },
    RequestPath { address: fleet.boxes[1].callers, name: "two_daemons", path: "/archive/1" },
  ];
  let throughput_max = throughput(&request_paths[2])?;
  let rate = throughput_max * count(get(matches, "share")) / 100.0;
  let mut measured: Vec<PathResults> =
    request_paths.iter().map(|_| PathResults::default()).collect();
  for _ in 0..get(matches, "rounds") {
    for (request_path, measured) in request_paths.iter().zip(&mut measured) {
      let cpu = cpu_us(&fleet)?;
      let result = load(request_path, Some(rate), 4).run()?;
      measured.add(&result, count_u64(cpu_us(&fleet)? - cpu));
    }
  }
  for (request_path, results) in request_paths.iter().zip(&measured) {
    let direct = &measured[0];
    print(&serde_json::json!({
      "measure": "overhead",
      "way": request_path.name,
      "share_percent": get(matches, "share"),
      "per_second": rate,
      "most_per_second_of_two_daemons": throughput_max,
      "failed": results.failed,
      "p50_ms": results.p50_ms.spread(),
      "p99_ms": results.p99_ms.spread(),
      "p999_ms": results.p999_ms.spread(),
      "added_p50_ms": results.p50_ms.median() - direct.p50_ms.median(),
      "added_p99_ms": results.p99_ms.median() - direct.p99_ms.median(),
      "added_p999_ms": results.p999_ms.median() - direct.p999_ms.median(),
      "daemon_cpu_us_per_request": results.cpu_us.spread(),
    }));
  }
  Ok(())
}

/// The results of one path, with one value per round.
#[derive(Default)]
struct PathResults {
  cpu_us: Sample,
  failed: u64,
  p50_ms: Sample,
  p99_ms: Sample,
  p999_ms: Sample,
}

impl PathResults {
  fn add(&mut self, result: &LoadResult, cpu_us: f64) {
    self.cpu_us.add(cpu_us / count_u64(result.latency_us.len().max(1)));
    self.failed += result.failed;
    self.p50_ms.add(result.quantile_ms(0.5));
    self.p99_ms.add(result.quantile_ms(0.99));
    self.p999_ms.add(result.quantile_ms(0.999));
  }
}

fn load(request_path: &RequestPath, per_second: Option<f64>, threads: usize) -> Generator {
  Generator {
    addresses: vec![request_path.address],
    duration: Duration::from_secs(ROUND_SECONDS),
    path: request_path.path.into(),
    per_second,
    threads,
  }
}

/// Returns the requests answered per second when eight connections send without pauses.
fn throughput(request_path: &RequestPath) -> Result<f64> {
  Ok(load(request_path, None, 8).run()?.per_second())
}

/// Returns the processor time used by all daemons so far, in microseconds.
fn cpu_us(fleet: &Fleet) -> Result<u64> {
  let daemons = fleet.boxes.iter().filter_map(|one| one.daemon.as_ref());
  daemons.map(Process::cpu_us).sum()
}
