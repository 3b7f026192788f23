use super::*;

use std::sync::{
  Mutex, PoisonError,
  atomic::{AtomicUsize, Ordering},
};

/// The daemon's log, with a level that can change while it runs.
#[derive(Clone)]
pub struct Log {
  level: Arc<AtomicUsize>,
  /// Writes lines.
  pub logger: Logger,
  outlet: Outlet,
}

impl Log {
  /// Marks lines about single requests, of which more pass than of others.
  pub const REQUEST: &'static str = "request";

  /// A log on standard output, or at a terminal on standard error.
  pub fn new(format: LogFormat, level: LogLevel) -> Self {
    let outlet = Outlet::default();
    let threshold = Arc::new(AtomicUsize::new(level.threshold().as_usize()));
    let drain =
      Limiting { inner: sink(format, &outlet), level: threshold.clone(), quota: Mutex::default() };
    Self { level: threshold, logger: Logger::root(drain.fuse(), o!()), outlet }
  }

  /// A log that goes nowhere.
  pub fn discard() -> Self {
    Self {
      level: Arc::default(),
      logger: Logger::root(slog::Discard, o!()),
      outlet: Outlet::default(),
    }
  }

  /// Writes what was gathered, as far as it is taken at once.
  pub fn flush(&self) {
    self.outlet.flush();
  }

  /// Sets which lines the log has from now on.
  pub fn set_level(&self, level: LogLevel) {
    self.level.store(level.threshold().as_usize(), Ordering::Relaxed);
  }
}

type Sink = Arc<dyn slog::SendSyncRefUnwindSafeDrain<Ok = (), Err = slog::Never>>;

fn sink(format: LogFormat, outlet: &Outlet) -> Sink {
  match format {
    LogFormat::Json => {
      let json = slog_json::Json::new(Whole::new(outlet)).add_default_keys().build();
      Arc::new(Mutex::new(json).ignore_res())
    }
    LogFormat::Terminal => {
      let decorator = slog_term::TermDecorator::new().build();
      Arc::new(Mutex::new(slog_term::CompactFormat::new(decorator).build()).ignore_res())
    }
  }
}

/// Hands whole lines on: the serializer writes them piece by piece.
struct Whole {
  line: Vec<u8>,
  outlet: Outlet,
}

impl Whole {
  fn new(outlet: &Outlet) -> Self {
    Self { line: Vec::new(), outlet: outlet.clone() }
  }
}

impl io::Write for Whole {
  fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
    self.line.extend_from_slice(bytes);
    if self.line.ends_with(b"\n") {
      self.outlet.take(&self.line);
      self.line.clear();
    }
    Ok(bytes.len())
  }

  fn flush(&mut self) -> io::Result<()> {
    Ok(())
  }
}

/// Drops lines below the level, and equal lines beyond the quota.
struct Limiting {
  inner: Sink,
  level: Arc<AtomicUsize>,
  quota: Mutex<Quota>,
}

impl Drain for Limiting {
  type Err = slog::Never;
  type Ok = ();

  fn log(
    &self,
    record: &slog::Record,
    values: &slog::OwnedKVList,
  ) -> std::result::Result<(), slog::Never> {
    if record.level().as_usize() > self.level.load(Ordering::Relaxed) {
      return Ok(());
    }
    let second = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let is_request = record.tag() == Log::REQUEST;
    let lines_max = if is_request { Quota::REQUESTS_MAX } else { Quota::LINES_MAX };
    let (admitted, held_back) = {
      let mut quota = self.quota.lock().unwrap_or_else(PoisonError::into_inner);
      quota.admit(second, &record.msg().to_string(), lines_max)
    };
    for (text, count) in held_back {
      let location = slog::record_static!(Level::Warning, "");
      let message = format_args!("{count} equal lines were held back: {text}");
      self.inner.log(&slog::Record::new(&location, &message, slog::b!()), values)?;
    }
    if admitted { self.inner.log(record, values) } else { Ok(()) }
  }
}
