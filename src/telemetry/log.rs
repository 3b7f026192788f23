use super::*;

use std::sync::{
  Mutex, PoisonError,
  atomic::{AtomicUsize, Ordering},
};

/// The daemon's log, with a level that can change while it runs.
#[derive(Clone)]
pub struct Log {
  level: Arc<AtomicUsize>,
  /// The logger that writes lines.
  pub logger: Logger,
  output: BufferedOutput,
}

impl Log {
  /// Tag of lines about single requests, which have a higher quota.
  pub const REQUEST: &'static str = "request";

  /// Creates a log on standard output as JSON, or on standard error for a terminal.
  pub fn new(format: LogFormat, level: LogLevel) -> Self {
    let output = BufferedOutput::default();
    let threshold = Arc::new(AtomicUsize::new(level.threshold().as_usize()));
    let drain = LimitedDrain {
      inner: sink(format, &output),
      level: threshold.clone(),
      quota: Mutex::default(),
    };
    Self { level: threshold, logger: Logger::root(drain.fuse(), o!()), output }
  }

  /// Creates a log that discards all lines.
  pub fn discard() -> Self {
    Self {
      level: Arc::default(),
      logger: Logger::root(slog::Discard, o!()),
      output: BufferedOutput::default(),
    }
  }

  /// Writes buffered lines as far as standard output accepts them without waiting.
  pub fn flush(&self) {
    self.output.flush();
  }

  /// Sets the lowest level that is logged from now on.
  pub fn set_level(&self, level: LogLevel) {
    self.level.store(level.threshold().as_usize(), Ordering::Relaxed);
  }
}

type Sink = Arc<dyn slog::SendSyncRefUnwindSafeDrain<Ok = (), Err = slog::Never>>;

fn sink(format: LogFormat, output: &BufferedOutput) -> Sink {
  match format {
    LogFormat::Json => {
      let json = slog_json::Json::new(LineWriter::new(output)).add_default_keys().build();
      Arc::new(Mutex::new(json).ignore_res())
    }
    LogFormat::Terminal => {
      let decorator = slog_term::TermDecorator::new().build();
      Arc::new(Mutex::new(slog_term::CompactFormat::new(decorator).build()).ignore_res())
    }
  }
}

/// Assembles complete lines, as the serializer writes them in pieces.
struct LineWriter {
  line: Vec<u8>,
  output: BufferedOutput,
}

impl LineWriter {
  fn new(output: &BufferedOutput) -> Self {
    Self { line: Vec::new(), output: output.clone() }
  }
}

impl io::Write for LineWriter {
  fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
    self.line.extend_from_slice(bytes);
    if self.line.ends_with(b"\n") {
      self.output.push_line(&self.line);
      self.line.clear();
    }
    Ok(bytes.len())
  }

  fn flush(&mut self) -> io::Result<()> {
    Ok(())
  }
}

/// Drops lines below the level, and equal lines beyond the quota.
struct LimitedDrain {
  inner: Sink,
  level: Arc<AtomicUsize>,
  quota: Mutex<Quota>,
}

impl Drain for LimitedDrain {
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
    let (admitted, suppressed) = {
      let mut quota = self.quota.lock().unwrap_or_else(PoisonError::into_inner);
      quota.admit(second, &record.msg().to_string(), lines_max)
    };
    for (text, count) in suppressed {
      let location = slog::record_static!(Level::Warning, "");
      let message = format_args!("suppressed {count} equal lines: {text}");
      self.inner.log(&slog::Record::new(&location, &message, slog::b!()), values)?;
    }
    if admitted { self.inner.log(record, values) } else { Ok(()) }
  }
}
