//! The record of a run: what was sent, answered and run, with the milliseconds since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
  file: Arc<Mutex<File>>,
  started: Instant,
}

impl Record {
  pub fn create(path: &Path) -> Self {
    let file = File::create(path).expect("the record can be written");
    Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
  }

  pub fn now_ms(&self) -> u64 {
    self.started.elapsed().as_millis() as u64
  }

  pub fn line(&self, text: impl AsRef<str>) {
    let line = format!("{:>7} ms  {}\n", self.now_ms(), text.as_ref());
    self.file.lock().unwrap().write_all(line.as_bytes()).ok();
  }
}
