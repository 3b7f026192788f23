use super::*;

/// The requests that run at the backend server beside the daemon, so that its own calls are known.
///
/// A backend server names a call after the request that needs it, with an ending of its own.
#[derive(Clone, Debug, Default)]
pub struct AtWork {
  /// How often each id runs now.
  running: BTreeMap<String, u32>,
}

impl AtWork {
  /// A request starts to run.
  pub fn begin(&mut self, id: &RequestId) {
    *self.running.entry(id.as_str().into()).or_default() += 1;
  }

  /// A request ended.
  pub fn end(&mut self, id: &RequestId) {
    if let Some(count) = self.running.get_mut(id.as_str()) {
      *count -= 1;
    }
    if self.running.get(id.as_str()) == Some(&0) {
      self.running.remove(id.as_str());
    }
  }

  /// Whether a request is a call of one that runs.
  pub fn is_call(&self, id: &RequestId) -> bool {
    let text = id.as_str();
    let mut ends = text.match_indices(['.', '-', '_']);
    ends.any(|(end, _)| self.running.contains_key(&text[..end]))
  }
}
