use super::*;

/// Daemon processes on loopback, with a simulated store and simulated backend servers.
pub struct Fleet {
  /// The process that runs all backend servers.
  pub backend_servers: Process,
  /// The boxes.
  pub boxes: Vec<FleetBox>,
  pub(super) directory: tempfile::TempDir,
  pub(super) executable: PathBuf,
  /// Keeps the fleet's ports reserved while it lives.
  pub(super) _held_ports: Vec<HeldPort>,
  pub(super) pool: Rc<web::Pool>,
  /// The store's process.
  pub store: Process,
  /// Where the store listens.
  pub store_address: SocketAddr,
}

impl Fleet {
  /// Longest wait for the fleet to reach an expected state.
  const WAIT_MAX: Duration = Duration::from_mins(1);
  /// Longest wait for one HTTP response, in milliseconds.
  pub(super) const TIMEOUT_MS: u64 = 5_000;

  /// The first configuration: the policies, services and routes of the test fleet.
  pub const CONFIGURATION: &'static str = "
    create policy plain attempts 3 deadline_ms 10000 queue_length 24;
    create policy long attempts 2 deadline_ms 600000 queue_length 24;
    create service archive policy plain;
    create service certification policy plain;
    create service intake policy long;
    create route archive path /archive service archive;
    create route certify path /certify service certification repeatable no;
    create route intake path /intake service intake";

  /// Waits until every daemon holds a configuration.
  pub async fn wait_until_ready(&self) -> Result {
    let started = Instant::now();
    for one in &self.boxes {
      while one.scrape().await.is_err() || one.run_statements("export").await?.document.is_none() {
        self.check_wait(started, &format!("{} to be ready", one.box_id))?;
        monoio::time::sleep(Duration::from_millis(20)).await;
      }
    }
    Ok(())
  }

  /// Applies [`Fleet::CONFIGURATION`], and waits until every daemon has applied it and sees every
  /// backend server as live.
  pub async fn configure(&self) -> Result<Version> {
    self.wait_until_ready().await?;
    let version = self.change(0, Self::CONFIGURATION).await?;
    self.wait_for_version(version).await?;
    self.wait_for_live_backend_servers(self.boxes.len()).await?;
    Ok(version)
  }

  /// Waits until every running daemon sees exactly `live` backend servers as live.
  pub async fn wait_for_live_backend_servers(&self, live: usize) -> Result {
    let started = Instant::now();
    for one in self.boxes.iter().filter(|one| one.daemon.is_some()) {
      while one.scrape().await.unwrap_or_default().live_endpoints() != live {
        self.check_wait(started, &format!("{} to see {live} live backend servers", one.box_id))?;
        monoio::time::sleep(Duration::from_millis(10)).await;
      }
    }
    Ok(())
  }

  /// Sends a statement to the box at `index` and returns the version that it created. Fails if the
  /// daemon does not report it as done.
  pub async fn change(&self, index: usize, text: &str) -> Result<Version> {
    let answer = self.boxes[index].run_statements(text).await?;
    let version = answer.version.filter(|_| answer.outcome == AnswerOutcome::Done);
    version.ok_or_else(|| Error::Unexpected(format!("`{text}`: {}", answer.message)))
  }

  /// Waits until every running daemon has applied `version` or a newer one. Returns when the last
  /// daemon did so, in Unix milliseconds as the daemons report it.
  pub async fn wait_for_version(&self, version: Version) -> Result<u64> {
    let started = Instant::now();
    let mut last_unix_ms = 0;
    for one in self.boxes.iter().filter(|one| one.daemon.is_some()) {
      loop {
        let scrape = one.scrape().await.unwrap_or_default();
        if scrape.version() >= version {
          last_unix_ms = last_unix_ms.max(scrape.applied_unix_ms());
          break;
        }
        self.check_wait(started, &format!("{} to apply version {version}", one.box_id))?;
        monoio::time::sleep(Duration::from_millis(5)).await;
      }
    }
    Ok(last_unix_ms)
  }

  fn check_wait(&self, started: Instant, what: &str) -> Result {
    if started.elapsed() < Self::WAIT_MAX {
      return Ok(());
    }
    let log = |one: &FleetBox| format!("--- {}\n{}", one.box_id, one.log());
    let logs: Vec<String> = self.boxes.iter().map(log).collect();
    Err(Error::Unexpected(format!(
      "timed out waiting for {what}; daemon logs:\n{}",
      logs.join("\n")
    )))
  }

  /// Sets the faults that the store injects.
  pub async fn set_store_faults(&self, faults: &StoreFaults) -> Result {
    let text = serde_json::to_string(faults).map_err(|err| Error::Unexpected(err.to_string()))?;
    self.post_to_store("/fault", text).await.map(drop)
  }

  /// Saves the store's content for [`Fleet::restore_store`].
  pub async fn save_store(&self) -> Result {
    self.post_to_store("/save", String::new()).await.map(drop)
  }

  /// Resets the store to the content saved by [`Fleet::save_store`].
  pub async fn restore_store(&self) -> Result {
    self.post_to_store("/restore", String::new()).await.map(drop)
  }

  /// Returns the number of calls that the store has received.
  pub async fn store_calls(&self) -> Result<u64> {
    let body = self.post_to_store("/calls", String::new()).await?;
    let calls: BTreeMap<String, u64> =
      serde_json::from_slice(&body).map_err(|err| Error::Unexpected(err.to_string()))?;
    Ok(calls.values().sum())
  }

  async fn post_to_store(&self, path: &str, text: String) -> Result<Bytes> {
    let request = Request::post(path).header("host", self.store_address.to_string());
    let request =
      request.body(web::full(text)).map_err(|err| Error::Unexpected(err.to_string()))?;
    let (_, body) = self.pool.exchange(self.store_address, request, 1 << 20).await?;
    Ok(body)
  }

  /// Kills the store, which loses its content.
  pub fn kill_store(&mut self) -> Result {
    self.store.kill()
  }

  /// Starts an empty store at the same address.
  pub fn start_store(&mut self) -> Result {
    let words = ["stand-in", "store", "--listen", &self.store_address.to_string()];
    let log = self.directory.path().join("store-2.log");
    self.store = Process::start(&self.executable, &words.map(String::from), &log)?;
    Ok(())
  }

  /// Sums, over all running daemons, the metrics whose names start with `prefix`.
  pub async fn sum(&self, prefix: &str) -> Result<f64> {
    let mut sum = 0.0;
    for one in self.boxes.iter().filter(|one| one.daemon.is_some()) {
      sum += one.scrape().await?.sum(prefix);
    }
    Ok(sum)
  }
}
