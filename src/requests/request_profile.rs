use super::*;

/// The properties of a request on which its dispatch depends.
#[derive(Clone, Debug)]
pub struct RequestProfile {
  /// Expected bytes of its answer.
  pub answer_bytes: u64,
  /// Maximum number of backend servers to which it is sent, at least 1.
  pub attempts_max: u32,
  /// Bytes of its body, as far as known.
  pub body_bytes: u64,
  /// When its final answer is due.
  pub deadline: Time,
  /// How long its run is expected to take at the usual backend server of its service; `None` where
  /// that is unknown.
  pub estimate: Option<RunEstimate>,
  /// Whether its body is held, so that two tries can send it at the same time. A streamed body goes to
  /// one try.
  pub is_body_held: bool,
  /// The version of its service that should serve it.
  pub lane: Lane,
  /// The only box to which it may be sent; `None` allows all.
  pub only_box: Option<BoxId>,
  /// The regions in which it may be served; `None` allows all.
  pub regions: Option<BTreeSet<Region>>,
  /// Whether it may run more than once.
  pub repeatable: bool,
  /// Whether it is retried after a backend server answered with a failure.
  pub retry_failures: bool,
  /// The service that receives it.
  pub service: ServiceName,
  /// How urgent it is.
  pub urgency: Urgency,
}

impl RequestProfile {
  /// Returns what the choice of its backend server depends on.
  pub fn selection_criteria(&self, now: Time, own_box: &BoxId) -> SelectionCriteria {
    SelectionCriteria {
      answer_bytes: self.answer_bytes,
      body_bytes: self.body_bytes,
      due_ms: self.urgency.due.since_ms(now),
      near_box: (self.body_bytes > LinkBudget::LARGE_BYTES).then(|| own_box.clone()),
      repeatable: self.repeatable,
    }
  }
}
