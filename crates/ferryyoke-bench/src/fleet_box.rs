use super::*;

/// One box of a [`Fleet`]: a daemon process and its backend server.
pub struct FleetBox {
  /// The daemon's administration address.
  pub administration: SocketAddr,
  /// The address of the backend server.
  pub backend_server: SocketAddr,
  /// The box's name.
  pub box_id: String,
  /// The daemon's address for callers.
  pub callers: SocketAddr,
  /// The daemon process; `None` while it is not running.
  pub daemon: Option<Process>,
  pub(super) directory: PathBuf,
  pub(super) executable: PathBuf,
  /// Connections to the daemon and the backend server.
  pub(super) pool: Rc<web::Pool>,
  /// The service of the backend server.
  pub service: String,
}

impl FleetBox {
  /// Largest response body that is read, in bytes.
  const ANSWER_BYTES_MAX: usize = 64 << 20;

  /// Returns the path of the daemon's settings file.
  pub fn settings_path(&self) -> PathBuf {
    self.directory.join(format!("{}.json", self.box_id))
  }

  /// Returns the daemon's log since its last start; empty if it cannot be read.
  pub fn log(&self) -> String {
    let path = self.directory.join(format!("{}.log", self.box_id));
    fs::read_to_string(path).unwrap_or_default()
  }

  /// Starts the daemon.
  pub fn start(&mut self) -> Result {
    let settings = self.settings_path().display().to_string();
    let words = ["run".into(), "--settings".into(), settings];
    let log = self.directory.join(format!("{}.log", self.box_id));
    self.daemon = Some(Process::start(&self.executable, &words, &log)?);
    Ok(())
  }

  /// Kills the daemon, if it is running.
  pub fn kill(&mut self) -> Result {
    match self.daemon.take() {
      Some(mut daemon) => daemon.kill(),
      None => Ok(()),
    }
  }

  /// Sends the daemon a signal by name; see [`Process::signal`].
  pub fn signal(&self, name: &str) -> Result {
    let not_running = || Error::Unexpected(format!("the daemon of {} is not running", self.box_id));
    self.daemon.as_ref().ok_or_else(not_running)?.signal(name)
  }

  /// Waits at most `wait_max` for the daemon to exit by itself and returns its exit code.
  pub async fn exit_code(&mut self, wait_max: Duration) -> Result<i32> {
    let started = Instant::now();
    while started.elapsed() < wait_max {
      let code = self.daemon.as_mut().map(Process::exit_code).transpose()?.flatten();
      if let Some(code) = code {
        self.daemon = None;
        return Ok(code);
      }
      monoio::time::sleep(Duration::from_millis(20)).await;
    }
    Err(Error::Unexpected(format!(
      "the daemon of {} did not exit within {wait_max:?}",
      self.box_id
    )))
  }

  /// Reads the daemon's metrics.
  pub async fn scrape(&self) -> Result<Scrape> {
    let (_, body) = self.get_at(self.administration, "/metrics").await?;
    Ok(Scrape::parse(&String::from_utf8_lossy(&body)))
  }

  /// Sends one or more statements to the daemon's administration.
  pub async fn run_statements(&self, text: &str) -> Result<Answer> {
    let request = StatementRequest { change_id: None, text: text.into() };
    Ok(query::send_script(self.administration, None, &request).await?)
  }

  /// Returns the requests that the backend server has run.
  pub async fn journal(&self) -> Result<Journal> {
    let (_, body) = self.get_at(self.backend_server, "/journal").await?;
    serde_json::from_slice(&body).map_err(|err| Error::Unexpected(err.to_string()))
  }

  /// Sets the faults that the backend server injects.
  pub async fn set_backend_faults(&self, faults: &BackendFaults) -> Result {
    let text = serde_json::to_string(faults).map_err(|err| Error::Unexpected(err.to_string()))?;
    let request = Request::post("/fault").header("host", self.backend_server.to_string());
    let request = request.body(web::full(text)).map_err(unexpected)?;
    self.pool.exchange(self.backend_server, request, Self::ANSWER_BYTES_MAX).await?;
    Ok(())
  }

  /// Sends a `GET` request through the daemon, as a caller does.
  pub async fn get(&self, path: &str) -> Result<(StatusCode, Bytes)> {
    self.get_at(self.callers, path).await
  }

  /// Sends a `POST` request with an idempotency key through the daemon.
  pub async fn post_with_key(
    &self,
    path: &str,
    key: &str,
    body: &str,
  ) -> Result<(StatusCode, Bytes)> {
    let request = Request::post(path)
      .header("host", self.callers.to_string())
      .header(headers::KEY, key)
      .body(web::full(body.to_string()))
      .map_err(unexpected)?;
    Ok(self.pool.exchange(self.callers, request, Self::ANSWER_BYTES_MAX).await?)
  }

  async fn get_at(&self, address: SocketAddr, path: &str) -> Result<(StatusCode, Bytes)> {
    let request = Request::get(path).header("host", address.to_string());
    let request = request.body(web::empty()).map_err(unexpected)?;
    Ok(self.pool.exchange(address, request, Self::ANSWER_BYTES_MAX).await?)
  }
}

fn unexpected(err: impl Display) -> Error {
  Error::Unexpected(err.to_string())
}
