use super::*;

/// The requests that run at the backend server beside the daemon, so that its own calls are known.
///
/// A backend server names a call after the request that needs it, with an ending of its own.
#[derive(Clone, Debug, Default)]
pub struct AtWork {
  running: BTreeMap<String, AtWorkRequest>,
}

/// A request that runs.
#[derive(Clone, Copy, Debug, Default)]
struct AtWorkRequest {
  /// Whether a call that it needs failed.
  call_failed: bool,
  /// How often it runs now; at least 1.
  runs: u32,
}

impl AtWork {
  /// A request starts to run.
  pub fn begin(&mut self, id: &RequestId) {
    self.running.entry(id.as_str().into()).or_default().runs += 1;
  }

  /// A request ended.
  pub fn end(&mut self, id: &RequestId) {
    let Some(request) = self.running.get_mut(id.as_str()) else {
      return;
    };
    request.runs -= 1;
    if request.runs == 0 {
      self.running.remove(id.as_str());
    }
  }

  /// Whether a request is a call of one that runs.
  pub fn is_call(&self, id: &RequestId) -> bool {
    self.parent_of(id).is_some()
  }

  /// A call got no good answer, so the request that needs it may fail without fault of its own.
  pub fn call_failed(&mut self, id: &RequestId) {
    let parent = self.parent_of(id).map(ToString::to_string);
    if let Some(request) = parent.and_then(|parent| self.running.get_mut(&parent)) {
      request.call_failed = true;
    }
  }

  /// Whether a call of a running request failed.
  pub fn has_failed_call(&self, id: &RequestId) -> bool {
    self.running.get(id.as_str()).is_some_and(|request| request.call_failed)
  }

  fn parent_of<'a>(&self, id: &'a RequestId) -> Option<&'a str> {
    let text = id.as_str();
    let mut starts = text.match_indices(['.', '-', '_']).map(|(end, _)| &text[..end]);
    starts.find(|start| self.running.contains_key(*start))
  }
}
