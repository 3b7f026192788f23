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
#[derive(Clone, Debug, Default)]
struct RunningRequest {
  /// Credit for retries of its calls, passed on by the box that took the request in.
  call_credit: CallCredit,
  /// Whether a call that it needs failed.
  call_failed: bool,
  /// The calls that it made.
  calls: RunCalls,
  /// When its answer is due at the latest; `None` where that is unknown.
  deadline: Option<Time>,
  /// When its answer should be there; `None` where that is unknown.
  due: Option<Time>,
  /// Runs under way; at least 1.
  runs: u32,
}

impl RunningRequests {
  /// Records that a run of a request starts.
  pub fn begin(&mut self, id: &RequestId) {
    self.running.entry(id.as_str().into()).or_default().runs += 1;
  }

  /// Records when the answer of a running request is due at the latest.
  pub fn set_deadline(&mut self, id: &RequestId, deadline: Time) {
    if let Some(request) = self.running.get_mut(id.as_str()) {
      request.deadline = request.deadline.max(Some(deadline));
    }
  }

  /// Adds credit for retries of the calls of a running request, which ends with it.
  pub fn add_call_credit(&mut self, id: &RequestId, credit: &CallCredit) {
    if let Some(request) = self.running.get_mut(id.as_str()) {
      request.call_credit.add_all(credit);
    }
  }

  /// Returns the credit for retries of its calls of the request that needs this one, if any.
  pub fn call_credit(&mut self, id: &RequestId) -> Option<&mut CallCredit> {
    let parent = self.parent_of(id)?.to_string();
    self.running.get_mut(&parent).map(|one| &mut one.call_credit).filter(|one| !one.is_empty())
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

  /// Records when the answer of a running request should be there.
  pub fn set_due(&mut self, id: &RequestId, due: Time) {
    if let Some(request) = self.running.get_mut(id.as_str()) {
      request.due = request.due.max(Some(due));
    }
  }

  /// Returns when the answer of the request that needs this call should be there, if that is known.
  pub fn parent_due(&self, id: &RequestId) -> Option<Time> {
    self.parent_of(id).and_then(|parent| self.running.get(parent)).and_then(|one| one.due)
  }

  /// Returns whether the request is a call made for a running one.
  pub fn is_call(&self, id: &RequestId) -> bool {
    self.parent_of(id).is_some()
  }

  /// Returns when the request that needs this call is due at the latest, if that is known.
  pub fn parent_deadline(&self, id: &RequestId) -> Option<Time> {
    self.parent_of(id).and_then(|parent| self.running.get(parent)).and_then(|one| one.deadline)
  }

  /// Returns how many calls of the request that needs this one ended well.
  pub fn calls_done(&self, id: &RequestId) -> u32 {
    let parent = self.parent_of(id).and_then(|parent| self.running.get(parent));
    parent.map_or(0, |one| one.calls.succeeded())
  }

  /// Records that a call failed, so that a failure of the request that needs it is not its own
  /// fault.
  pub fn record_failed_call(&mut self, id: &RequestId) {
    let parent = self.parent_of(id).map(ToString::to_string);
    if let Some(request) = parent.and_then(|parent| self.running.get_mut(&parent)) {
      request.call_failed = true;
    }
  }

  /// Records a call that ended now, for [`RunningRequests::calls_of`].
  pub fn record_call(
    &mut self,
    now_us: u64,
    id: &RequestId,
    service: &ServiceName,
    took_us: u64,
    failed: bool,
  ) {
    let parent = self.parent_of(id).map(ToString::to_string);
    if let Some(request) = parent.and_then(|parent| self.running.get_mut(&parent)) {
      request.calls.add(now_us, service, took_us, failed);
    }
  }

  /// Returns whether a call made for a running request failed.
  pub fn has_failed_call(&self, id: &RequestId) -> bool {
    self.running.get(id.as_str()).is_some_and(|request| request.call_failed)
  }

  /// Returns the calls made for a running request; `None` if it doesn't run.
  pub fn calls_of(&self, id: &RequestId) -> Option<&RunCalls> {
    self.running.get(id.as_str()).map(|request| &request.calls)
  }

  fn parent_of<'a>(&self, id: &'a RequestId) -> Option<&'a str> {
    let text = id.as_str();
    let mut starts = text.match_indices(['.', '-', '_']).map(|(end, _)| &text[..end]);
    starts.find(|start| self.running.contains_key(*start))
  }
}
