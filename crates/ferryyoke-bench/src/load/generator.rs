use super::*;

/// Sends requests from several threads for some time.
#[derive(Clone, Debug)]
pub struct Generator {
  /// Where the requests go, thread by thread in turn.
  pub addresses: Vec<SocketAddr>,
  /// For how long.
  pub duration: Duration,
  /// The path asked for.
  pub path: String,
  /// Requests a second in all; as many as get answered where absent.
  pub per_second: Option<f64>,
  /// Threads, each with one connection.
  pub threads: usize,
}

impl Generator {
  /// Sends the load and waits for its end. Times count from when each request was due, so that a
  /// slow answer counts against those that it delays.
  pub fn run(&self) -> Result<LoadResult> {
    let threads: Vec<_> = (0..self.threads)
      .map(|index| {
        let generator = self.clone();
        std::thread::spawn(move || generator.run_thread(index))
      })
      .collect();
    let mut all = LoadResult::new();
    for thread in threads {
      let one = thread.join().map_err(|_| Error::Unexpected("a load thread panicked".into()))??;
      all.merge(&one);
    }
    Ok(all)
  }

  fn run_thread(&self, index: usize) -> Result<LoadResult> {
    let address = self.addresses[index % self.addresses.len()];
    let mut connection = Connection::open(address)?;
    let mut result = LoadResult::new();
    let interval = self.interval();
    let started = Instant::now();
    let mut due = started + interval.map_or(Duration::ZERO, |one| one / 7 * index_of(index));
    while due.duration_since(started) < self.duration {
      wait_until(due);
      let status = connection.get(&self.path);
      result.note(due.elapsed(), matches!(status, Ok(200)));
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

/// Spreads the threads over an interval.
fn index_of(index: usize) -> u32 {
  u32::try_from(index % 7).unwrap_or(0)
}

/// Sleeps most of the way and spins the rest, for the kernel wakes sleepers late.
fn wait_until(due: Instant) {
  const SPIN: Duration = Duration::from_micros(150);
  let left = due.saturating_duration_since(Instant::now());
  if left > SPIN {
    std::thread::sleep(left.saturating_sub(SPIN));
  }
  while Instant::now() < due {
    std::hint::spin_loop();
  }
}
