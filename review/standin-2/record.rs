//! What was sent, answered and run, in order.

use std::{
  collections::BTreeMap,
  fmt::Display,
  fs::File,
  io::{BufWriter, Write},
  sync::Mutex,
  time::{Duration, Instant},
};

/// A run of a request at a backend server.
#[derive(Clone, Debug)]
pub struct Run {
  pub server: String,
}

pub struct Record {
  file: Mutex<BufWriter<File>>,
  pub runs: Mutex<BTreeMap<String, Vec<Run>>>,
  started: Instant,
}

impl Record {
  pub fn create(path: &str) -> Result<Self, String> {
    let file = File::create(path).map_err(|err| format!("{path}: {err}"))?;
    let file = Mutex::new(BufWriter::new(file));
    Ok(Self { file, runs: Mutex::default(), started: Instant::now() })
  }

  pub fn now(&self) -> Duration {
    self.started.elapsed()
  }

  pub fn write(&self, what: impl Display) {
    let now = self.now().as_secs_f64();
    let mut file = self.file.lock().unwrap();
    writeln!(file, "{now:9.3} {what}").ok();
  }

  pub fn flush(&self) {
    self.file.lock().unwrap().flush().ok();
  }

  /// Notes that a backend server begins to run a request.
  pub fn run(&self, id: &str, server: &str) {
    let run = Run { server: server.into() };
    self.runs.lock().unwrap().entry(id.into()).or_default().push(run);
    self.write(format!("run {id} at {server}"));
  }

  pub fn runs_of(&self, id: &str) -> Vec<Run> {
    self.runs.lock().unwrap().get(id).cloned().unwrap_or_default()
  }

  /// Writes and prints a line of the result.
  pub fn result(&self, what: impl Display) {
    println!("{what}");
    self.write(what);
    self.flush();
  }
}
