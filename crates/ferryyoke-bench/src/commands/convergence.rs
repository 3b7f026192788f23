//! How long a change takes from its statement until the last box applies it, and what it costs.

use super::*;

/// Seconds over which the fleet at rest is watched.
const REST_SECONDS: u64 = 10;

/// Milliseconds between two changes.
const CHANGE_PAUSE_MS: u64 = 300;

/// Bytes on links, sent by all daemons.
const SENT: &str = "ferryyoke_link_bytes_total{direction=\"sent\"}";

pub fn arguments() -> Command {
  Command::new("convergence")
    .about("Convergence time, control bytes, processor time and memory of a fleet of processes")
    .arg(number("boxes", "12", "Daemons to start"))
    .arg(number("changes", "20", "Changes to make"))
    .arg(number("data-halls", "6", "Data halls to spread them over"))
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
  // Let the endpoint table and the relays settle before anything is counted.
  monoio::time::sleep(Duration::from_secs(5)).await;
  let rest = watch_rest(&fleet).await?;
  let (mut stated, mut accepted) = (Sample::default(), Sample::default());
  let (bytes, calls) = (fleet.sum(SENT).await?, fleet.store_calls().await?);
  let started = Instant::now();
  for index in 0..changes {
    let stated_at = unix_ms();
    let text = format!("create route bench-{index} path /bench-{index} service archive");
    let version = fleet.change(index % boxes, &text).await?;
    let accepted_at = unix_ms();
    monoio::time::sleep(Duration::from_millis(CHANGE_PAUSE_MS)).await;
    let last = fleet.wait_for_version(version).await?;
    stated.add(milliseconds(last, stated_at));
    accepted.add(milliseconds(last, accepted_at));
  }
  let elapsed = started.elapsed().as_secs_f64();
  let per_box = |total: f64| total / count(boxes);
  let change_bytes = per_box(fleet.sum(SENT).await? - bytes) - rest.bytes_per_box_per_s * elapsed;
  let change_calls = count_u64(fleet.store_calls().await? - calls) - rest.calls_per_s * elapsed;
  print(&serde_json::json!({
    "measure": "convergence",
    "boxes": boxes,
    "changes": changes,
    "profile": get_profile(matches),
    "convergence_ms_p50": stated.median(),
    "convergence_ms_p99": stated.quantile(0.99),
    "convergence_ms_max": stated.max(),
    "after_answer_ms_p50": accepted.median(),
    "control_bytes_per_box_per_change": change_bytes / count(changes),
    "control_bytes_per_box_per_s_at_rest": rest.bytes_per_box_per_s,
    "control_bytes_per_s_at_rest_of_busiest_box": rest.bytes_per_s_of_busiest,
    "store_calls": fleet.store_calls().await?,
    "store_calls_per_change": change_calls / count(changes),
    "store_calls_per_s_at_rest": rest.calls_per_s,
    "cpu_share_at_rest": rest.cpu_share.spread(),
    "rss_kb": rest.rss_kb.spread(),
  }));
  Ok(())
}

/// What a fleet takes while nothing happens.
struct Rest {
  bytes_per_box_per_s: f64,
  bytes_per_s_of_busiest: f64,
  calls_per_s: f64,
  cpu_share: Sample,
  rss_kb: Sample,
}

async fn watch_rest(fleet: &Fleet) -> Result<Rest> {
  let before = Usage::of(fleet).await?;
  let started = Instant::now();
  monoio::time::sleep(Duration::from_secs(REST_SECONDS)).await;
  let after = Usage::of(fleet).await?;
  let seconds = started.elapsed().as_secs_f64();
  let bytes: Sample =
    differences(&before.bytes, &after.bytes).map(|bytes| bytes / seconds).collect();
  let cpu_share = differences(&before.cpu_us, &after.cpu_us).map(|us| us / 1e6 / seconds).collect();
  Ok(Rest {
    bytes_per_box_per_s: bytes.sum() / count(bytes.count()),
    bytes_per_s_of_busiest: bytes.max(),
    calls_per_s: (after.calls - before.calls) / seconds,
    cpu_share,
    rss_kb: after.rss_kb.into_iter().collect(),
  })
}

/// What the daemons used so far, box by box.
struct Usage {
  bytes: Vec<f64>,
  calls: f64,
  cpu_us: Vec<f64>,
  rss_kb: Vec<f64>,
}

impl Usage {
  async fn of(fleet: &Fleet) -> Result<Self> {
    let calls = count_u64(fleet.store_calls().await?);
    let mut usage = Self { bytes: Vec::new(), calls, cpu_us: Vec::new(), rss_kb: Vec::new() };
    for one in &fleet.boxes {
      usage.bytes.push(one.scrape().await?.sum(SENT));
      if let Some(daemon) = &one.daemon {
        usage.cpu_us.push(count_u64(daemon.cpu_us()?));
        usage.rss_kb.push(count_u64(daemon.memory_kb("VmRSS")?));
      }
    }
    Ok(usage)
  }
}

fn differences(before: &[f64], after: &[f64]) -> impl Iterator<Item = f64> {
  before.iter().zip(after).map(|(before, after)| after - before)
}

fn milliseconds(later: u64, earlier: u64) -> f64 {
  count_u64(later.saturating_sub(earlier))
}
