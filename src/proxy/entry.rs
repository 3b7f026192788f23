//! Decides at the box that takes a caller's request in, before any try, whether it is tried.

use super::*;

/// Refuses a request that should not be tried.
pub(super) fn check(shared: &Shared, request: &EntryRequest) -> std::result::Result<(), Refusal> {
  let now = shared.now().time;
  match shared.rooms.borrow_mut().decide(now, request) {
    EntryDecision::Admit => Ok(()),
    EntryDecision::Refuse { reason, retry_after_ms } => {
      Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, retry_after_ms))
    }
  }
}
