use super::*;

/// What is known of a request when it sets out, as far as it decides its way.
#[derive(Clone, Debug)]
pub struct Terms {
  /// Bytes that its answer is expected to have.
  pub answer_bytes: u64,
  /// Backend servers to which it may be sent; at least 1.
  pub attempts_max: u32,
  /// Bytes of its body, as far as known.
  pub body_bytes: u64,
  /// When its final answer is due.
  pub deadline: Time,
  /// Which of its service's versions it is meant for.
  pub lane: Lane,
  /// The one box to which it may be sent; any where there is none.
  pub only_box: Option<BoxId>,
  /// The regions in which it may be served; nothing where it may be anywhere.
  pub regions: Option<BTreeSet<Region>>,
  /// Whether it may run more than once.
  pub repeatable: bool,
  /// Whether an answer that tells of a failure is asked for elsewhere.
  pub retry_failures: bool,
  /// The service that receives it.
  pub service: ServiceName,
  /// How urgent it is.
  pub urgency: Urgency,
}

impl Terms {
  /// What it has to lose by the choice of its backend server.
  pub fn stakes(&self, now: Time, own_box: &BoxId) -> Stakes {
    Stakes {
      answer_bytes: self.answer_bytes,
      body_bytes: self.body_bytes,
      due_ms: self.urgency.due.since_ms(now),
      near_box: (self.body_bytes > LinkBudget::LARGE_BYTES).then(|| own_box.clone()),
      repeatable: self.repeatable,
    }
  }
}
