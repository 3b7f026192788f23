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

/// Counts a request that runs, and records its end when dropped.
pub(super) struct Running {
  count: Rc<Cell<u32>>,
  /// Index among the recorded runs.
  index: usize,
  record: Rc<RefCell<Record>>,
  started: Instant,
}

impl Running {
  /// Records a run that begins.
  pub(super) fn begin(
    count: &Rc<Cell<u32>>,
    record: &Rc<RefCell<Record>>,
    started: Instant,
    run: record::Run,
  ) -> Self {
    count.set(count.get() + 1);
    record.borrow_mut().runs.push(run);
    let index = record.borrow().runs.len() - 1;
    Self { count: count.clone(), index, record: record.clone(), started }
  }
}

impl Drop for Running {
  fn drop(&mut self) {
    self.count.set(self.count.get() - 1);
    let ended_ms = backend_server::elapsed_ms(self.started);
    if let Some(run) = self.record.borrow_mut().runs.get_mut(self.index) {
      run.ended_ms = Some(ended_ms);
    }
  }
}
