//! Measures the time from a statement until the last box applies the change, and the cost of a
//! change.

use super::*;

/// How long the idle fleet is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(10);

/// Wait after the first configuration before measuring starts.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Pause after each change, in milliseconds.
const CHANGE_PAUSE_MS: u64 = 300;

pub fn arguments() -> Command {
  Command::new("convergence")
    .about("Convergence time, control bytes, processor time and memory of a fleet of processes")
    .arg(number("boxes", "12", "Daemons to start"))
    .arg(number("changes", "20", "Changes to make"))
    .arg(number("data-halls", "6", "Data halls to spread them over"))
    .arg(number("load", "0", "Requests a second that callers send meanwhile"))
    .arg(profile())
    .arg(json())
}

pub async fn measure(matches: &ArgMatches) -> Result {
  let (boxes, changes) = (get(matches, "boxes"), get(matches, "changes"));
  let fleet = FleetBuilder::new(executable()?)
    .boxes(boxes)
    .data_halls(get(matches, "data-halls"))
    .log_level("warning")
    .profile(get_profile(matches))
    .start()?;
  fleet.configure().await?;
  monoio::time::sleep(SETTLE_TIME).await;
  let before_idle = Usage::read(&fleet).await?;
  monoio::time::sleep(IDLE_PERIOD).await;
  let before = Usage::read(&fleet).await?;
  let idle = before.since(&before_idle);
  let load = start_load(&fleet, get(matches, "load"));
  let (stated, answered) = make_changes(&fleet, changes).await?;
  let failed = load.map_or(Ok(0), finish_load)?;
  let after = Usage::read(&fleet).await?;
  let changing = after.since(&before);
  let bytes: Sample = idle.bytes.iter().copied().collect();
  let per_box = |rates: &Rates| rates.bytes.iter().sum::<f64>() / count(boxes);
  let seconds = (after.calls - before.calls) / changing.calls;
  let per_change = |changing: f64, idle: f64| (changing - idle) * seconds / count(changes);
  print(&serde_json::json!({
    "measure": "convergence",
    "boxes": boxes,
    "changes": changes,
    "profile": get_profile(matches),
    "requests_per_s": get(matches, "load"),
    "requests_failed": failed,
    "convergence_ms_p50": stated.median(),
    "convergence_ms_p99": stated.quantile(0.99),
    "convergence_ms_max": stated.max(),
    "after_answer_ms_p50": answered.median(),
    "control_bytes_per_box_per_change": per_change(per_box(&changing), per_box(&idle)),
    "control_bytes_per_s_at_rest": bytes.spread(),
    "store_calls": after.calls,
    "store_calls_per_change": per_change(changing.calls, idle.calls),
    "store_calls_per_s_at_rest": idle.calls,
    "cpu_share_at_rest": idle.cpu_share.into_iter().collect::<Sample>().spread(),
    "rss_kb": after.rss_kb.into_iter().collect::<Sample>().spread(),
  }));
  Ok(())
}

/// A load that runs in background threads.
type Load = std::thread::JoinHandle<Result<LoadResult>>;

/// Starts a load of `per_second` requests per second through all daemons; `None` if it is zero. The
/// load lasts about as long as the changes.
fn start_load(fleet: &Fleet, per_second: usize) -> Option<Load> {
  const THREADS: usize = 4;
  const SECONDS: u64 = 8;
  let generator = Generator {
    addresses: fleet.boxes.iter().map(|one| one.callers).collect(),
    duration: Duration::from_secs(SECONDS),
    path: "/archive/1".into(),
    per_second: Some(count(per_second)),
    threads: THREADS,
  };
  (per_second > 0).then(|| std::thread::spawn(move || generator.run()))
}

/// Waits until a load ends and returns the number of failed requests.
fn finish_load(load: Load) -> Result<u64> {
  let result = load.join().map_err(|_| Error::Unexpected("a load thread panicked".into()))??;
  Ok(result.failed)
}

/// Makes changes one after another. Returns the milliseconds until the last box has applied each
/// change, measured from sending the statement and from receiving its answer.
pub async fn make_changes(fleet: &Fleet, changes: usize) -> Result<(Sample, Sample)> {
  let (mut stated, mut answered) = (Sample::default(), Sample::default());
  for index in 0..changes {
    let stated_at = unix_ms();
    let text = format!("create route bench-{index} path /bench-{index} service archive");
    let version = fleet.change(index % fleet.boxes.len(), &text).await?;
    let answered_at = unix_ms();
    monoio::time::sleep(Duration::from_millis(CHANGE_PAUSE_MS)).await;
    let last = fleet.wait_for_version(version).await?;
    stated.add(count_u64(last.saturating_sub(stated_at)));
    answered.add(count_u64(last.saturating_sub(answered_at)));
  }
  Ok((stated, answered))
}
