//! Measures how many requests with idempotency keys a fleet serves, and counts keys that ran twice.

use super::*;

/// Duration of the load in seconds.
const SECONDS: u64 = 8;

pub fn arguments() -> Command {
  Command::new("at-most-once")
    .about(
      "Requests with a key a second, each sent through two daemons, and how often one ran twice",
    )
    .arg(number("callers", "48", "Callers that send one request after another"))
    .arg(json())
}

/// Number of responses by outcome.
#[derive(Default)]
struct OutcomeCounts {
  answered: u64,
  not_run: u64,
  other: u64,
}

pub async fn measure(matches: &ArgMatches) -> Result {
  let fleet = FleetBuilder::new(executable()?).boxes(6).log_level("error").slots(50).start()?;
  fleet.configure().await?;
  let callers = get(matches, "callers");
  let started = Instant::now();
  let calls = (0..callers).map(|caller| call(&fleet, caller, started));
  let mut counts = OutcomeCounts::default();
  for one in futures_util::future::join_all(calls).await {
    let one = one?;
    counts.answered += one.answered;
    counts.not_run += one.not_run;
    counts.other += one.other;
  }
  let seconds = started.elapsed().as_secs_f64();
  let mut runs: BTreeMap<String, u64> = BTreeMap::new();
  for one in &fleet.boxes {
    for run in one.journal().await?.runs {
      if let Some(key) = run.key {
        *runs.entry(key).or_default() += 1;
      }
    }
  }
  print(&serde_json::json!({
    "measure": "at-most-once",
    "callers": callers,
    "store_writes_per_s_limit": StoreServer::WRITES_PER_SECOND,
    "keys_run_per_s": count(runs.len()) / seconds,
    "answered_per_s": count_u64(counts.answered) / seconds,
    "refused_as_not_run_per_s": count_u64(counts.not_run) / seconds,
    "running_or_unknown_per_s": count_u64(counts.other) / seconds,
    "keys_run_twice": runs.values().filter(|count| **count > 1).count(),
  }));
  Ok(())
}

/// Runs one caller, which sends each key through two daemons, one after the other.
async fn call(fleet: &Fleet, caller: usize, started: Instant) -> Result<OutcomeCounts> {
  let mut counts = OutcomeCounts::default();
  for number in 0.. {
    if started.elapsed().as_secs() >= SECONDS {
      break;
    }
    let key = format!("key-{caller}-{number}");
    for attempt in 0..2 {
      let one = &fleet.boxes[(caller + attempt) % fleet.boxes.len()];
      let (status, body) =
        one.post_with_key(&format!("/certify/{key}"), &key, "a transcript").await?;
      let is_not_run = String::from_utf8_lossy(&body).contains("not-run");
      match status {
        StatusCode::OK => counts.answered += 1,
        _ if is_not_run => counts.not_run += 1,
        _ => counts.other += 1,
      }
    }
  }
  Ok(counts)
}
