//! Planned stops at the end of a run, without other faults, while large answers overload narrow links.

use super::{run::Run, *};

/// A download, and its outcome.
pub(super) struct Download {
  index: usize,
  outcome: Outcome,
  request_id: String,
}

impl Run {
  /// Bandwidth of the boxes' links in megabits per second.
  const NARROW_MBPS: std::ops::Range<u64> = 8..20;
  /// Sizes of the answers in bytes.
  const DOWNLOAD_BYTES: std::ops::Range<usize> = 30_000..400_000;
  /// The callers' timeout in milliseconds: as long as a stop may take.
  const DOWNLOAD_MS: Ms = SoakBox::STOP_MS;
  /// Milliseconds between two downloads at each box. The total is several times the links' bandwidth.
  const DOWNLOAD_PAUSE_MS: Ms = 70;
  /// Milliseconds for which callers send downloads. The stops fall within this time.
  const DOWNLOADS_MS: Ms = 9_000;
  /// Upper limit of the milliseconds between two stops.
  const STOP_GAP_MAX_MS: Ms = 2_000;

  /// Limits the bandwidth of all boxes by the seed. If some links were wide, most answers would cross those.
  pub(super) fn narrow_links(&self, seed: u64) -> Result {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(8));
    for one in &self.boxes {
      one.narrow(rng.random_range(Self::NARROW_MBPS))?;
    }
    Ok(())
  }

  /// Stops two boxes shortly after each other while callers download at all boxes. No answer may be cut.
  pub(super) async fn check_stops(self: &Rc<Self>, seed: u64) -> Result {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(24));
    let downloading = (0..self.boxes.len()).map(|index| {
      let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(24) ^ (index as u64 + 1));
      let run = self.clone();
      async move { run.download_for_a_while(index, &mut rng).await }
    });
    let downloads = futures_util::future::join_all(downloading);
    let stopped = rand::seq::index::sample(&mut rng, self.boxes.len(), 2.min(self.boxes.len()));
    let stopping = async {
      let mut stops = Vec::new();
      for index in stopped {
        pause(rng.random_range(200..Self::STOP_GAP_MAX_MS)).await;
        let run = self.clone();
        stops.push(monoio::spawn(async move { run.stop(index).await }));
      }
      futures_util::future::join_all(stops).await.into_iter().collect::<Result<()>>()
    };
    let (downloads, stopped) = futures_util::future::join(downloads, stopping).await;
    stopped?;
    // A request sent while its connection closes is never read: it runs nowhere, and a caller may retry it.
    let record = self.record.borrow();
    let ran: BTreeSet<&str> = record.runs.iter().map(|run| run.request_id.as_str()).collect();
    let is_cut =
      |one: &&Download| one.outcome == Outcome::Cut && ran.contains(one.request_id.as_str());
    let cut = downloads.iter().flatten().filter(is_cut);
    let seen: Vec<String> = cut
      .map(|one| format!("the download {} at box {} broke off", one.request_id, one.index))
      .collect();
    drop(record);
    for seen in seen {
      self.violate("a planned stop cuts nothing", seen);
    }
    Ok(())
  }

  async fn download_for_a_while(
    self: Rc<Self>,
    index: usize,
    rng: &mut ChaCha8Rng,
  ) -> Vec<Download> {
    let until = self.now() + Self::DOWNLOADS_MS;
    let mut under_way = Vec::new();
    while self.now() < until {
      let (run, bytes) = (self.clone(), rng.random_range(Self::DOWNLOAD_BYTES));
      under_way.push(monoio::spawn(async move { run.download(index, bytes).await }));
      pause(Self::DOWNLOAD_PAUSE_MS).await;
    }
    futures_util::future::join_all(under_way).await
  }

  pub(super) async fn download(&self, index: usize, bytes: usize) -> Download {
    let request_id = format!("{:016x}", rand::random::<u64>());
    let request = Request::get(format!("{}download", platform::BULK_PATH))
      .header(http::header::HOST, "soak.example")
      .header(platform::ANSWER_BYTES, bytes)
      .header(platform::REQUEST_ID, &request_id)
      .header(platform::TIME_LEFT_MS, Self::DOWNLOAD_MS)
      .body(web::empty())
      .expect("a fixed head");
    let pool = Rc::new(web::Pool::new(1_000));
    let exchange = pool.exchange(self.boxes[index].callers, request, 1 << 20);
    let limit = Duration::from_millis(Self::DOWNLOAD_MS);
    let outcome = match monoio::time::timeout(limit, exchange).await {
      Ok(Ok((StatusCode::OK, body))) if body.len() == bytes => Outcome::Answered,
      Ok(Ok((status, _))) => Outcome::Failed(status.as_u16()),
      Ok(Err(web::Error::Unreachable { .. } | web::Error::Unsent { .. })) => Outcome::Unsent,
      Ok(Err(_)) => Outcome::Cut,
      // The caller timed out.
      Err(_) => Outcome::Failed(StatusCode::REQUEST_TIMEOUT.as_u16()),
    };
    Download { index, outcome, request_id }
  }
}

async fn pause(for_ms: Ms) {
  monoio::time::sleep(Duration::from_millis(for_ms)).await;
}
