//! Measures the cost of many backend servers draining and returning at once, and how long it takes
//! until all daemons know.

use super::*;

pub fn arguments() -> Command {
  Command::new("churn")
    .about("Bytes and time until all daemons know that a herd of backend servers drains or is back")
    .arg(number("boxes", "50", "Daemons to start"))
    .arg(number("data-halls", "6", "Data halls to spread them over"))
    .arg(number("herd", "20", "Backend servers that go and come at once"))
    .arg(number("rounds", "5", "Times that the herd goes and comes"))
    .arg(profile())
    .arg(json())
}

pub async fn measure(matches: &ArgMatches) -> Result {
  let (boxes, herd) = (get(matches, "boxes"), get(matches, "herd"));
  let fleet = FleetBuilder::new(executable()?)
    .boxes(boxes)
    .data_halls(get(matches, "data-halls"))
    .log_level("warning")
    .profile(get_profile(matches))
    .start()?;
  fleet.configure().await?;
  monoio::time::sleep(Duration::from_secs(5)).await;
  let (mut draining_ms, mut back_ms) = (Sample::default(), Sample::default());
  let before_idle = Usage::read(&fleet).await?;
  monoio::time::sleep(Duration::from_secs(10)).await;
  let before = Usage::read(&fleet).await?;
  let idle: f64 = before.since(&before_idle).bytes.iter().sum();
  let started = Instant::now();
  for _ in 0..get(matches, "rounds") {
    draining_ms.add(set_draining(&fleet, herd, true).await?);
    back_ms.add(set_draining(&fleet, herd, false).await?);
  }
  let seconds = started.elapsed().as_secs_f64();
  let total: f64 = Usage::read(&fleet).await?.since(&before).bytes.iter().sum();
  let updates = count(2 * herd * get(matches, "rounds"));
  print(&serde_json::json!({
    "measure": "churn",
    "boxes": boxes,
    "herd": herd,
    "profile": get_profile(matches),
    "ms_until_all_know_it_drains": draining_ms.spread(),
    "ms_until_all_know_it_is_back": back_ms.spread(),
    // Sent and received, without the traffic of the idle fleet.
    "bytes_per_box_and_change_of_one": (total - idle) * seconds / count(boxes) / updates,
  }));
  Ok(())
}

/// Makes the first `herd` backend servers drain or return. Returns the milliseconds until every
/// daemon knows, including the wait for the next health check.
async fn set_draining(fleet: &Fleet, herd: usize, draining: bool) -> Result<f64> {
  let faults = BackendFaults { draining, ..BackendFaults::default() };
  let started = Instant::now();
  for one in &fleet.boxes[..herd] {
    one.set_backend_faults(&faults).await?;
  }
  let live = if draining { fleet.boxes.len() - herd } else { fleet.boxes.len() };
  fleet.wait_for_live_backend_servers(live).await?;
  Ok(started.elapsed().as_secs_f64() * 1_000.0)
}
