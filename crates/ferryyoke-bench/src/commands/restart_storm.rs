//! What it takes until a fleet that starts all at once is current, against a plain baseline.

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
  let mut storm = Storm::default();
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
    let (last_unix_ms, most) = count_calls(&fleet, fleet.wait_for_version(version)).await?;
    storm.seconds.add(count_u64(last_unix_ms.saturating_sub(started_unix_ms)) / 1_000.0);
    storm.calls.add(count_u64(fleet.store_calls().await? - before));
    storm.peak.add(most);
  }
  for one in &mut fleet.boxes {
    one.kill()?;
  }
  let mut plain = Storm::default();
  for _ in 0..get(matches, "runs") {
    let before = fleet.store_calls().await?;
    let started = Instant::now();
    let (last, most) = count_calls(&fleet, plain_fleet(fleet.store_address, boxes)).await?;
    plain.seconds.add(last.duration_since(started).as_secs_f64());
    plain.calls.add(count_u64(fleet.store_calls().await? - before));
    plain.peak.add(most);
  }
  print(&serde_json::json!({
    "measure": "restart-storm",
    "boxes": boxes,
    "profile": get_profile(matches),
    "fleet": storm.line(),
    "each_box_watches_the_store": plain.line(),
  }));
  Ok(())
}

/// What storms came to.
#[derive(Default)]
struct Storm {
  calls: Sample,
  peak: Sample,
  seconds: Sample,
}

impl Storm {
  fn line(&self) -> serde_json::Value {
    serde_json::json!({
      "seconds_until_all_current": self.seconds.spread(),
      "store_calls": self.calls.spread(),
      "store_calls_per_s_at_the_peak": self.peak.spread(),
    })
  }
}

/// The baseline: every box reads the store and watches it by itself, all of them at once, and tries
/// again when the store has had enough. Returns when the last one was current.
async fn plain_fleet(store: SocketAddr, boxes: usize) -> Result<Instant> {
  let starting = (0..boxes).map(|_| plain_box(store));
  futures_util::future::join_all(starting).await;
  Ok(Instant::now())
}

async fn plain_box(address: SocketAddr) {
  let store = HttpStore::new(address, 1_000);
  let listed = call_until_done(&store, StoreRequest::List { prefix: keys::watched() }).await;
  let Reply::Entries { entries, revision } = listed else {
    return;
  };
  let head = entries.iter().find(|entry| entry.key == keys::head());
  let head: Option<Head> = head.and_then(|entry| entry.value.decode().ok());
  if let Some(head) = head {
    let key = keys::snapshot(head.snapshot_version, &head.snapshot_digest);
    call_until_done(&store, StoreRequest::Read { key }).await;
  }
  // The box is current; its watch goes on while the others start.
  let watch = StoreRequest::Watch { after: revision, prefix: keys::watched(), wait_ms: 10_000 };
  monoio::spawn(async move { store.call(watch).await });
}

async fn call_until_done(store: &HttpStore, request: StoreRequest) -> Reply {
  loop {
    match store.call(request.clone()).await {
      Ok(reply) => return reply,
      Err(_) => monoio::time::sleep(Duration::from_millis(100)).await,
    }
  }
}

/// Waits for `waiting`; returns what it brought, and the most calls a second that the store took
/// meanwhile in any quarter of a second.
async fn count_calls<T>(
  fleet: &Fleet,
  waiting: impl Future<Output = Result<T>>,
) -> Result<(T, f64)> {
  const LOOK: Duration = Duration::from_millis(250);
  let done = std::cell::Cell::new(false);
  let waiting = async {
    let brought = waiting.await;
    done.set(true);
    brought
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
  let (brought, most) = futures_util::future::join(waiting, counting).await;
  Ok((brought?, most?))
}
