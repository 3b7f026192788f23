use super::*;

/// Tracks the requests that run at the local backend server, to recognise the calls it makes for
/// them.
///
/// The id of such a call is the id of the request that needs it, followed by a suffix of its own.
#[derive(Clone, Debug, Default)]
pub struct RunningRequests {
  running: BTreeMap<String, RunningRequest>,
}

/// A running request.
#[derive(Clone, Copy, Debug, Default)]
struct RunningRequest {
  /// Whether a call that it needs failed.
  call_failed: bool,
  /// Runs under way; at least 1.
  runs: u32,
}

impl RunningRequests {
  /// Records that a run of a request starts.
  pub fn begin(&mut self, id: &RequestId) {
    self.running.entry(id.as_str().into()).or_default().runs += 1;
  }

  /// Records that a run of a request ended.
  pub fn end(&mut self, id: &RequestId) {
    let Some(request) = self.running.get_mut(id.as_str()) else {
      return;
    };
    request.runs -= 1;
    if request.runs == 0 {
      self.running.remove(id.as_str());
    }
  }

  /// Returns whether the request is a call made for a running one.
  pub fn is_call(&self, id: &RequestId) -> bool {
    self.parent_of(id).is_some()
  }

  /// Records that a call failed, so that a failure of the request that needs it is not its own
  /// fault.
  pub fn record_failed_call(&mut self, id: &RequestId) {
    let parent = self.parent_of(id).map(ToString::to_string);
    if let Some(request) = parent.and_then(|parent| self.running.get_mut(&parent)) {
      request.call_failed = true;
    }
  }

  /// Returns whether a call made for a running request failed.
  pub fn has_failed_call(&self, id: &RequestId) -> bool {
    self.running.get(id.as_str()).is_some_and(|request| request.call_failed)
  }

  fn parent_of<'a>(&self, id: &'a RequestId) -> Option<&'a str> {
    let text = id.as_str();
    let mut starts = text.match_indices(['.', '-', '_']).map(|(end, _)| &text[..end]);
    starts.find(|start| self.running.contains_key(*start))
  }
}
