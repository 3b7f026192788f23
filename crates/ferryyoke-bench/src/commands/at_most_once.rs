//! How many requests that must run at most once a fleet carries, and that none runs twice.

use super::*;

/// Seconds of the load.
const SECONDS: u64 = 8;

pub fn arguments() -> Command {
  Command::new("at-most-once")
    .about(
      "Requests with a key a second, each sent through two daemons, and how often one ran twice",
    )
    .arg(number("callers", "48", "Callers that send one request after another"))
    .arg(json())
}

/// What all callers saw.
#[derive(Default)]
struct Seen {
  answered: u64,
  not_run: u64,
  other: u64,
}

pub async fn measure(matches: &ArgMatches) -> Result {
  let fleet = FleetBuilder::new(executable()?).boxes(6).log_level("error").slots(50).start()?;
  fleet.configure().await?;
  let callers = get(matches, "callers");
  let started = Instant::now();
  let calling = (0..callers).map(|caller| call(&fleet, caller, started));
  let mut seen = Seen::default();
  for one in futures_util::future::join_all(calling).await {
    let one = one?;
    seen.answered += one.answered;
    seen.not_run += one.not_run;
    seen.other += one.other;
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
    "answered_per_s": count_u64(seen.answered) / seconds,
    "refused_as_not_run_per_s": count_u64(seen.not_run) / seconds,
    "running_or_unknown_per_s": count_u64(seen.other) / seconds,
    "keys_run_twice": runs.values().filter(|count| **count > 1).count(),
  }));
  Ok(())
}

/// One caller: each key goes through two daemons, one after the other.
async fn call(fleet: &Fleet, caller: usize, started: Instant) -> Result<Seen> {
  let mut seen = Seen::default();
  for number in 0.. {
    if started.elapsed().as_secs() >= SECONDS {
      break;
    }
    let key = format!("key-{caller}-{number}");
    for turn in 0..2 {
      let one = &fleet.boxes[(caller + turn) % fleet.boxes.len()];
      let (status, body) = one.post_once(&format!("/certify/{key}"), &key, "a transcript").await?;
      let is_not_run = String::from_utf8_lossy(&body).contains("not-run");
      match status {
        StatusCode::OK => seen.answered += 1,
        _ if is_not_run => seen.not_run += 1,
        _ => seen.other += 1,
      }
    }
  }
  Ok(seen)
}
