//! A configuration source with a cache, so that the boxes of a fleet parse a large text only once.

use {
  ferryyoke::{
    configuration::{Configuration, ParseError, Source},
    store::Key,
  },
  std::{collections::BTreeMap, sync::Mutex},
};

/// Caches the results of another source.
#[derive(Debug)]
pub struct CachedSource<S> {
  read: Mutex<BTreeMap<String, Result<Configuration, ParseError>>>,
  source: S,
}

impl<S> CachedSource<S> {
  pub fn new(source: S) -> Self {
    Self { read: Mutex::default(), source }
  }
}

impl<S: Source> Source for CachedSource<S> {
  fn key(&self) -> Key {
    self.source.key()
  }

  fn read(&self, value: &str) -> Result<Configuration, ParseError> {
    let mut read = self.read.lock().expect("no test panicked here");
    read.entry(value.to_owned()).or_insert_with(|| self.source.read(value)).clone()
  }
}
