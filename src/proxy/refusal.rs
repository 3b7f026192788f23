use super::*;

/// Why a caller gets no answer from a backend server.
#[derive(Clone, Debug)]
pub struct Refusal {
  /// Whether the request ran, as far as known.
  pub execution: ExecutionStatus,
  /// Whether it reached a backend server, which rejected it, or may have reached one.
  pub arrived: bool,
  /// Whether the box would accept it if no other box does.
  pub declined: bool,
  /// The reason, for the caller and the log.
  pub reason: String,
  /// Milliseconds after which to retry; `None` if a retry does not help.
  pub retry_after_ms: Option<u64>,
  /// The HTTP status.
  pub status: StatusCode,
}

/// Whether a request without an answer ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExecutionStatus {
  /// It certainly did not run.
  NotRun,
  /// A request with the same key is running.
  Running,
  /// It may have run.
  Unknown,
}

#[derive(Serialize)]
struct RefusalBody<'a> {
  outcome: &'static str,
  reason: &'a str,
  request_id: &'a RequestId,
  retry_after_ms: Option<u64>,
}

impl Refusal {
  /// Refuses a request that did not run and may be retried after a delay.
  pub fn not_run(status: StatusCode, reason: impl Into<String>, retry_after_ms: u64) -> Self {
    Self {
      arrived: false,
      declined: false,
      execution: ExecutionStatus::NotRun,
      reason: reason.into(),
      retry_after_ms: Some(retry_after_ms),
      status,
    }
  }

  /// Refuses a request that did not run and would fail again if retried unchanged.
  pub fn permanent(status: StatusCode, reason: impl Into<String>) -> Self {
    Self { retry_after_ms: None, ..Self::not_run(status, reason, 0) }
  }

  /// Refuses a request that may have run.
  pub fn unknown(status: StatusCode, reason: impl Into<String>) -> Self {
    Self { arrived: true, execution: ExecutionStatus::Unknown, ..Self::permanent(status, reason) }
  }

  /// Refuses a request while another one with the same key is running.
  pub fn running(reason: impl Into<String>, retry_after_ms: u64) -> Self {
    Self {
      arrived: true,
      execution: ExecutionStatus::Running,
      ..Self::not_run(StatusCode::CONFLICT, reason, retry_after_ms)
    }
  }

  /// Returns the outcome that callers see: `not-run`, `running` or `unknown`.
  pub fn outcome(&self) -> &'static str {
    match self.execution {
      ExecutionStatus::NotRun => "not-run",
      ExecutionStatus::Running => "running",
      ExecutionStatus::Unknown => "unknown",
    }
  }

  /// Returns the HTTP response.
  ///
  /// The `retry-after` header is in seconds; `fractions` says whether callers understand fractions.
  pub fn response(&self, id: &RequestId, fractions: bool) -> Response<AnyBody> {
    let mut response = web::json(
      self.status,
      &RefusalBody {
        outcome: self.outcome(),
        reason: &self.reason,
        request_id: id,
        retry_after_ms: self.retry_after_ms,
      },
    );
    let headers = response.headers_mut();
    headers::set(headers, headers::OUTCOME, self.outcome());
    headers::set_name(headers, headers::REQUEST_ID, id);
    if self.arrived {
      headers::set(headers, headers::ARRIVED, "yes");
    }
    if self.declined {
      headers::set(headers, headers::DECLINED, "yes");
    }
    if let Some(after_ms) = self.retry_after_ms {
      headers::set(headers, headers::RETRY_AFTER_MS, after_ms);
      let seconds = if fractions {
        format!("{}.{:03}", after_ms / 1_000, after_ms % 1_000)
      } else {
        after_ms.div_ceil(1_000).to_string()
      };
      headers::set(headers, "retry-after", seconds);
    }
    response
  }
}

impl From<AttemptOutcome> for Refusal {
  fn from(outcome: AttemptOutcome) -> Self {
    match outcome {
      AttemptOutcome::NotRun { arrived, declined, reason, retry_after_ms } => {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { arrived, declined, ..Self::not_run(status, reason, retry_after_ms) }
      }
      AttemptOutcome::Unknown { reason } => Self::unknown(StatusCode::BAD_GATEWAY, reason),
      AttemptOutcome::Answered { status } => {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        Self::unknown(status, "the answer was lost on the way")
      }
    }
  }
}
