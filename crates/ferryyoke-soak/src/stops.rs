//! Planned stops at the end of a run, in quiet: large answers cross links that are too narrow for all of them.

use super::{run::Run, *};

/// A download, and what its caller saw.
struct Download {
  index: usize,
  outcome: Outcome,
  request_id: String,
}

impl Run {
  /// Megabits a second of the boxes' links.
  const NARROW_MBPS: std::ops::Range<u64> = 8..20;
  /// Bytes of the answers.
  const DOWNLOAD_BYTES: std::ops::Range<usize> = 30_000..400_000;
  /// Milliseconds that callers wait for one: as long as a stop may take.
  const DOWNLOAD_MS: Ms = SoakBox::STOP_MS;
  /// Milliseconds between two downloads at each box: together several times what the links carry.
  const DOWNLOAD_PAUSE_MS: Ms = 70;
  /// Milliseconds for which downloads are sent, with the stops in their midst.
  const DOWNLOADS_MS: Ms = 9_000;
  /// Milliseconds between two stops, at most.
  const STOP_GAP_MAX_MS: Ms = 2_000;

  /// Gives all boxes narrow links, by the seed. With wide ones among them, most answers would come from these.
  pub(super) fn narrow_links(&self, seed: u64) -> Result {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(8));
    for one in &self.boxes {
      one.narrow(rng.random_range(Self::NARROW_MBPS))?;
    }
    Ok(())
  }

  /// Stops two boxes, one soon after the other, while callers download at all of them. No answer is cut.
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
    // A request that crosses the close of its connection is not read, runs nowhere, and is sent again.
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

  async fn download(&self, index: usize, bytes: usize) -> Download {
    let request_id = format!("{:016x}", rand::random::<u64>());
    let request = Request::get(format!("{}download", Kind::Read.path()))
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
      // Its caller's time is over.
      Err(_) => Outcome::Failed(StatusCode::REQUEST_TIMEOUT.as_u16()),
    };
    Download { index, outcome, request_id }
  }
}

async fn pause(for_ms: Ms) {
  monoio::time::sleep(Duration::from_millis(for_ms)).await;
}
