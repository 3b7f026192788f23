//! A source that reads each text once for all boxes of a fleet, so that large ones take little time.

use {
  ferryyoke::{
    configuration::{Configuration, ParseError, Source},
    store::Key,
  },
  std::{collections::BTreeMap, sync::Mutex},
};

/// Reads as another source does, and remembers what it read.
#[derive(Debug)]
pub struct ReadOnce<S> {
  read: Mutex<BTreeMap<String, Result<Configuration, ParseError>>>,
  source: S,
}

impl<S> ReadOnce<S> {
  pub fn new(source: S) -> Self {
    Self { read: Mutex::default(), source }
  }
}

impl<S: Source> Source for ReadOnce<S> {
  fn key(&self) -> Key {
    self.source.key()
  }

  fn read(&self, value: &str) -> Result<Configuration, ParseError> {
    let mut read = self.read.lock().expect("no test panicked here");
    read.entry(value.to_owned()).or_insert_with(|| self.source.read(value)).clone()
  }
}
