use super::*;

/// The request records that a daemon keeps: bounded, with a place of their own for failures so that
/// a flood of successes does not push them out.
#[derive(Clone, Debug, Default)]
pub struct RecordBook {
  failures: VecDeque<RequestRecord>,
  successes: VecDeque<RequestRecord>,
}

impl RecordBook {
  /// Records kept of each kind.
  pub const KEPT_MAX: usize = 256;

  /// Keeps a record.
  pub fn add(&mut self, record: RequestRecord) {
    let kept = if record.is_failure() { &mut self.failures } else { &mut self.successes };
    if kept.len() == Self::KEPT_MAX {
      kept.pop_front();
    }
    kept.push_back(record);
  }

  /// The records of a request, newest first.
  pub fn find(&self, id: &RequestId) -> Vec<&RequestRecord> {
    self.iter().filter(|record| record.id == *id).collect()
  }

  /// All records, newest first within each kind.
  pub fn iter(&self) -> impl Iterator<Item = &RequestRecord> {
    self.failures.iter().rev().chain(self.successes.iter().rev())
  }
}
