use super::*;

/// The request records that a daemon retains, bounded in number. Failures have a list of their own,
/// so that many successes don't evict them.
#[derive(Clone, Debug, Default)]
pub struct RequestHistory {
  failures: VecDeque<RequestRecord>,
  successes: VecDeque<RequestRecord>,
}

impl RequestHistory {
  /// Maximum number of records in each list.
  pub const RECORDS_MAX: usize = 256;

  /// Adds a record, and evicts the oldest one of its list if that is full.
  pub fn add(&mut self, record: RequestRecord) {
    let list = if record.is_failure() { &mut self.failures } else { &mut self.successes };
    if list.len() == Self::RECORDS_MAX {
      list.pop_front();
    }
    list.push_back(record);
  }

  /// Returns the records of a request, newest first within failures and successes.
  pub fn find(&self, id: &RequestId) -> Vec<&RequestRecord> {
    self.iter().filter(|record| record.id == *id).collect()
  }

  /// All records: failures, then successes, each newest first.
  pub fn iter(&self) -> impl Iterator<Item = &RequestRecord> {
    self.failures.iter().rev().chain(self.successes.iter().rev())
  }
}
