use super::*;

use http::HeaderMap;

/// What a backend server says about itself in the headers of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BackendNotices {
  /// Whether the process leaves.
  pub is_leaving: bool,
  /// The rate limit that it names.
  pub limit: LimitNotice,
}

impl BackendNotices {
  /// The value of the leaving header of a process that leaves.
  const LEAVING: &str = "1";

  /// Reads the notices from the headers of an answer.
  pub fn read(names: &HeaderNames, headers: &HeaderMap) -> Self {
    let text = |name: &Option<HeaderName>| {
      let value = headers.get(name.as_ref()?)?;
      Some(value.to_str().unwrap_or_default().trim())
    };
    let limit = match text(&names.rate_limit).map(str::parse) {
      None => LimitNotice::NotNamed,
      Some(Ok(rate)) => LimitNotice::Named(rate),
      Some(Err(_)) => LimitNotice::Unreadable,
    };
    Self { is_leaving: text(&names.leaving) == Some(Self::LEAVING), limit }
  }
}
