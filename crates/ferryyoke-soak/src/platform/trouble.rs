use super::*;

/// What goes wrong at a backend server while its process runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trouble {
  /// The requests that it runs at once. It never answers further ones, and nothing after them on their connections.
  pub hangs_above: u32,
  /// The share of requests that it runs and never answers.
  pub mute_share: f64,
  /// The share of requests after which it resets all its connections instead of answering.
  pub reset_share: f64,
  /// How many times longer than usual its runs take.
  pub slowness: u64,
}

impl Default for Trouble {
  fn default() -> Self {
    Self { hangs_above: u32::MAX, mute_share: 0.0, reset_share: 0.0, slowness: 1 }
  }
}

/// Counts a request that runs, until dropped.
pub(super) struct Running(Rc<Cell<u32>>);

impl Running {
  pub(super) fn begin(running: &Rc<Cell<u32>>) -> Self {
    running.set(running.get() + 1);
    Self(running.clone())
  }
}

impl Drop for Running {
  fn drop(&mut self) {
    self.0.set(self.0.get() - 1);
  }
}
