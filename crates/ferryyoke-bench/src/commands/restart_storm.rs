//! What it takes until a fleet that starts all at once is current, against a plain baseline.

use super::*;

pub fn arguments() -> Command {
  Command::new("restart-storm")
    .about("Time and store calls until all boxes are current after all restart at once")
    .arg(number("boxes", "50", "Daemons to start"))
    .arg(number("data-halls", "6", "Data halls to spread them over"))
    .arg(number("runs", "3", "Storms to raise"))
    .arg(profile())
    .arg(json())
}

pub async fn measure(matches: &ArgMatches) -> Result {
  let boxes = get(matches, "boxes");
  let mut fleet = FleetBuilder::new(executable()?)
    .boxes(boxes)
    .data_halls(get(matches, "data-halls"))
    .profile(get_profile(matches))
    .start()?;
  let version = fleet.configure().await?;
  let (mut seconds, mut calls, mut peak) =
    (Sample::default(), Sample::default(), Sample::default());
  for _ in 0..get(matches, "runs") {
    for one in &mut fleet.boxes {
      one.kill()?;
    }
    // The leases of the dead run out first, as they would after a real outage.
    monoio::time::sleep(Duration::from_secs(10)).await;
    let before = fleet.store_calls().await?;
    let started_unix_ms = unix_ms();
    for one in &mut fleet.boxes {
      one.start()?;
    }
    let (last_unix_ms, most) = watch(&fleet, version).await?;
    seconds.add(count_u64(last_unix_ms.saturating_sub(started_unix_ms)) / 1_000.0);
    calls.add(count_u64(fleet.store_calls().await? - before));
    peak.add(most);
  }
  print(&serde_json::json!({
    "measure": "restart-storm",
    "boxes": boxes,
    "profile": get_profile(matches),
    "seconds_until_all_current": seconds.spread(),
    "store_calls": calls.spread(),
    "store_calls_per_s_at_the_peak": peak.spread(),
    // Each box that watched the store itself would read the list, the snapshot, and then wait.
    "store_calls_of_a_fleet_that_watches_by_itself": 3 * boxes,
  }));
  Ok(())
}

/// Waits until all boxes are current; returns when the last one was, and the most calls that the
/// store took in any second.
async fn watch(fleet: &Fleet, version: Version) -> Result<(u64, f64)> {
  const LOOK: Duration = Duration::from_millis(250);
  let done = std::cell::Cell::new(false);
  let waiting = async {
    let last = fleet.wait_for_version(version).await;
    done.set(true);
    last
  };
  let counting = async {
    let mut most = 0.0_f64;
    let mut before = fleet.store_calls().await?;
    while !done.get() {
      let started = Instant::now();
      monoio::time::sleep(LOOK).await;
      let now = fleet.store_calls().await?;
      most = most.max(count_u64(now - before) / started.elapsed().as_secs_f64());
      before = now;
    }
    Ok::<_, Error>(most)
  };
  let (last, most) = futures_util::future::join(waiting, counting).await;
  Ok((last?, most?))
}
