//! Measures how long a fleet takes to have the current configuration after all daemons restart at
//! once, and how many store calls it makes, compared with boxes that each watch the store.

use super::*;

use ferryyoke::{
  configuration::Head,
  distribution::keys,
  store::{HttpStore, Reply, Store, StoreRequest},
};

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
  let mut relayed = RestartResults::default();
  for _ in 0..get(matches, "runs") {
    for one in &mut fleet.boxes {
      one.kill()?;
    }
    // Wait until the leases of the killed daemons expire, as they would in a real outage.
    monoio::time::sleep(Duration::from_secs(10)).await;
    let before = fleet.store_calls().await?;
    let started_unix_ms = unix_ms();
    for one in &mut fleet.boxes {
      one.start()?;
    }
    let (last_unix_ms, peak) = count_calls(&fleet, fleet.wait_for_version(version)).await?;
    relayed.seconds.add(count_u64(last_unix_ms.saturating_sub(started_unix_ms)) / 1_000.0);
    relayed.calls.add(count_u64(fleet.store_calls().await? - before));
    relayed.peak.add(peak);
  }
  for one in &mut fleet.boxes {
    one.kill()?;
  }
  let mut baseline = RestartResults::default();
  for _ in 0..get(matches, "runs") {
    let before = fleet.store_calls().await?;
    let started = Instant::now();
    let (last, peak) =
      count_calls(&fleet, start_baseline_fleet(fleet.store_address, boxes)).await?;
    baseline.seconds.add(last.duration_since(started).as_secs_f64());
    baseline.calls.add(count_u64(fleet.store_calls().await? - before));
    baseline.peak.add(peak);
  }
  print(&serde_json::json!({
    "measure": "restart-storm",
    "boxes": boxes,
    "profile": get_profile(matches),
    "fleet": relayed.to_json(),
    "each_box_watches_the_store": baseline.to_json(),
  }));
  Ok(())
}

/// Results of several restarts: store calls, peak store calls per second, and seconds until all
/// boxes are current.
#[derive(Default)]
struct RestartResults {
  calls: Sample,
  peak: Sample,
  seconds: Sample,
}

impl RestartResults {
  fn to_json(&self) -> serde_json::Value {
    serde_json::json!({
      "seconds_until_all_current": self.seconds.spread(),
      "store_calls": self.calls.spread(),
      "store_calls_per_s_at_the_peak": self.peak.spread(),
    })
  }
}

/// Simulates the baseline: all boxes read the store at once, each watches it, and a box retries a
/// call that fails, for example because the store is overloaded. Returns when the last box was
/// current.
async fn start_baseline_fleet(store: SocketAddr, boxes: usize) -> Result<Instant> {
  let starting = (0..boxes).map(|_| start_baseline_box(store));
  futures_util::future::join_all(starting).await;
  Ok(Instant::now())
}

async fn start_baseline_box(address: SocketAddr) {
  let store = HttpStore::new(address, 1_000);
  let listed = call_until_answered(&store, StoreRequest::List { prefix: keys::watched() }).await;
  let Reply::Entries { entries, revision } = listed else {
    return;
  };
  let head = entries.iter().find(|entry| entry.key == keys::head());
  let head: Option<Head> = head.and_then(|entry| entry.value.decode().ok());
  if let Some(head) = head {
    let key = keys::snapshot(head.snapshot_version, &head.snapshot_digest);
    call_until_answered(&store, StoreRequest::Read { key }).await;
  }
  // The box is current; its watch continues while the other boxes start.
  let watch = StoreRequest::Watch { after: revision, prefix: keys::watched(), wait_ms: 10_000 };
  monoio::spawn(async move { store.call(watch).await });
}

async fn call_until_answered(store: &HttpStore, request: StoreRequest) -> Reply {
  loop {
    match store.call(request.clone()).await {
      Ok(reply) => return reply,
      Err(_) => monoio::time::sleep(Duration::from_millis(100)).await,
    }
  }
}

/// Waits for `task`. Returns its result and the peak of store calls per second meanwhile, over
/// intervals of a quarter of a second.
async fn count_calls<T>(fleet: &Fleet, task: impl Future<Output = Result<T>>) -> Result<(T, f64)> {
  const INTERVAL: Duration = Duration::from_millis(250);
  let done = std::cell::Cell::new(false);
  let task = async {
    let result = task.await;
    done.set(true);
    result
  };
  let counting = async {
    let mut peak = 0.0_f64;
    let mut before = fleet.store_calls().await?;
    while !done.get() {
      let started = Instant::now();
      monoio::time::sleep(INTERVAL).await;
      let now = fleet.store_calls().await?;
      peak = peak.max(count_u64(now - before) / started.elapsed().as_secs_f64());
      before = now;
    }
    Ok::<_, Error>(peak)
  };
  let (result, peak) = futures_util::future::join(task, counting).await;
  Ok((result?, peak?))
}
