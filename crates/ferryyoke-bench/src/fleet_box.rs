use super::*;

/// One box of a fleet of processes.
pub struct FleetBox {
  /// Where the daemon takes statements.
  pub administration: SocketAddr,
  /// Where the backend server listens.
  pub backend_server: SocketAddr,
  /// The box's name.
  pub box_id: String,
  /// Where the daemon takes callers.
  pub callers: SocketAddr,
  /// The daemon; nothing while it does not run.
  pub daemon: Option<Process>,
  pub(super) directory: PathBuf,
  pub(super) executable: PathBuf,
  /// The pool for asking this box.
  pub(super) pool: Rc<web::Pool>,
  /// The service that the box serves.
  pub service: String,
}

impl FleetBox {
  /// Largest answer in bytes that is read.
  const ANSWER_BYTES_MAX: usize = 64 << 20;

  /// The daemon's settings file.
  pub fn settings_path(&self) -> PathBuf {
    self.directory.join(format!("{}.json", self.box_id))
  }

  /// The daemon's log.
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

  /// Kills the daemon.
  pub fn kill(&mut self) -> Result {
    match self.daemon.take() {
      Some(mut daemon) => daemon.kill(),
      None => Ok(()),
    }
  }

  /// Signals the daemon.
  pub fn signal(&self, name: &str) -> Result {
    let not_running = || Error::Unexpected(format!("the daemon of {} does not run", self.box_id));
    self.daemon.as_ref().ok_or_else(not_running)?.signal(name)
  }

  /// Waits until the daemon ended by itself, and returns its exit code.
  pub async fn exit_code(&mut self, patience: Duration) -> Result<i32> {
    let started = Instant::now();
    while started.elapsed() < patience {
      let code = self.daemon.as_mut().map(Process::exit_code).transpose()?.flatten();
      if let Some(code) = code {
        self.daemon = None;
        return Ok(code);
      }
      monoio::time::sleep(Duration::from_millis(20)).await;
    }
    Err(Error::Unexpected(format!("the daemon of {} did not end", self.box_id)))
  }

  /// The daemon's metrics.
  pub async fn scrape(&self) -> Result<Scrape> {
    let (_, body) = self.get_at(self.administration, "/metrics").await?;
    Ok(Scrape::parse(&String::from_utf8_lossy(&body)))
  }

  /// States a script to the daemon.
  pub async fn state(&self, text: &str) -> Result<Answer> {
    let request = StatementRequest { change_id: None, text: text.into() };
    Ok(query::send_script(self.administration, None, &request).await?)
  }

  /// Everything that the backend server ran.
  pub async fn journal(&self) -> Result<Journal> {
    let (_, body) = self.get_at(self.backend_server, "/journal").await?;
    serde_json::from_slice(&body).map_err(|err| Error::Unexpected(err.to_string()))
  }

  /// Sets the faults of the backend server.
  pub async fn set_backend_faults(&self, faults: &BackendFaults) -> Result {
    let text = serde_json::to_string(faults).map_err(|err| Error::Unexpected(err.to_string()))?;
    let request = Request::post("/fault").header("host", self.backend_server.to_string());
    let request = request.body(web::full(text)).map_err(unexpected)?;
    self.pool.exchange(self.backend_server, request, Self::ANSWER_BYTES_MAX).await?;
    Ok(())
  }

  /// A request of a caller, through the daemon.
  pub async fn get(&self, path: &str) -> Result<(StatusCode, Bytes)> {
    self.get_at(self.callers, path).await
  }

  /// A request that must run at most once, through the daemon.
  pub async fn post_once(&self, path: &str, key: &str, body: &str) -> Result<(StatusCode, Bytes)> {
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
