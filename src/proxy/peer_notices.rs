use super::*;

/// What the daemon of another box tells beside an answer.
#[derive(Default)]
pub(super) struct PeerNotices {
  /// The load and health of its backend server.
  pub(super) condition: Option<Condition>,
  /// The rate limit that its backend server names.
  pub(super) limit: Option<LimitHint>,
}

impl PeerNotices {
  /// Takes the notices out of the headers of an answer, which go on to the caller.
  pub(super) fn take(headers: &mut HeaderMap) -> Self {
    let notices = Self {
      condition: headers::parsed(headers, headers::CONDITION),
      limit: headers::parsed(headers, headers::BACKEND_LIMIT),
    };
    headers.remove(headers::CONDITION);
    headers.remove(headers::BACKEND_LIMIT);
    notices
  }
}
