use super::*;

/// Sends `GET` requests from several threads for a fixed time.
#[derive(Clone, Debug)]
pub struct Generator {
  /// Target addresses, assigned to the threads in turn.
  pub addresses: Vec<SocketAddr>,
  /// How long requests are sent.
  pub duration: Duration,
  /// The path of every request.
  pub path: String,
  /// Requests per second over all threads. If `None`, each thread sends its next request as soon as
  /// the previous one is answered.
  pub per_second: Option<f64>,
  /// Number of threads, each with one connection.
  pub threads: usize,
}

impl Generator {
  /// Sends the load and waits until it ends. Latency is measured from the scheduled send time, so
  /// that it includes the delay that a slow response causes to later requests.
  pub fn run(&self) -> Result<LoadResult> {
    let threads: Vec<_> = (0..self.threads)
      .map(|index| {
        let generator = self.clone();
        std::thread::spawn(move || generator.run_thread(index))
      })
      .collect();
    let mut total = LoadResult::new();
    for thread in threads {
      let result =
        thread.join().map_err(|_| Error::Unexpected("a load thread panicked".into()))??;
      total.merge(&result);
    }
    Ok(total)
  }

  fn run_thread(&self, index: usize) -> Result<LoadResult> {
    let address = self.addresses[index % self.addresses.len()];
    let mut connection = Connection::open(address)?;
    let mut result = LoadResult::new();
    let interval = self.interval();
    let started = Instant::now();
    let mut due = started + interval.map_or(Duration::ZERO, |one| one / 7 * start_offset(index));
    while due.duration_since(started) < self.duration {
      wait_until(due);
      let status = connection.get(&self.path);
      result.record(due.elapsed(), matches!(status, Ok(200)));
      if status.is_err() {
        connection = Connection::open(address)?;
      }
      due = interval.map_or_else(Instant::now, |interval| due + interval);
    }
    result.seconds = started.elapsed().as_secs_f64();
    Ok(result)
  }

  #[allow(clippy::cast_precision_loss)]
  fn interval(&self) -> Option<Duration> {
    self.per_second.map(|rate| Duration::from_secs_f64(self.threads as f64 / rate))
  }
}

/// Returns how many sevenths of an interval a thread waits before its first request, which spreads
/// the threads over the interval.
fn start_offset(index: usize) -> u32 {
  u32::try_from(index % 7).unwrap_or(0)
}

/// Waits until `due`. Sleeps first and spins for the last `SPIN`, because the kernel wakes sleeping
/// threads late.
fn wait_until(due: Instant) {
  const SPIN: Duration = Duration::from_micros(150);
  let remaining = due.saturating_duration_since(Instant::now());
  if remaining > SPIN {
    std::thread::sleep(remaining.saturating_sub(SPIN));
  }
  while Instant::now() < due {
    std::hint::spin_loop();
  }
}
