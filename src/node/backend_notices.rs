use super::*;

use http::HeaderMap;

/// What a backend server says about itself in the headers of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BackendNotices {
  /// Whether the process leaves.
  pub is_leaving: bool,
  /// The rate limit that it names.
  pub limit: LimitNotice,
  /// How long work takes there at this moment; `None` where it doesn't say so.
  pub slowdown: Option<Slowdown>,
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
    let slowdown = text(&names.reported_load).and_then(Self::read_slowdown);
    Self { is_leaving: text(&names.leaving) == Some(Self::LEAVING), limit, slowdown }
  }

  /// Reads the fourth figure of a load. One that no working backend server can have is none.
  fn read_slowdown(load: &str) -> Option<Slowdown> {
    const PLAUSIBLE_PERCENT: std::ops::RangeInclusive<u32> = 10..=2_000;
    let percent = load.split(',').nth(3)?.trim().parse().ok()?;
    PLAUSIBLE_PERCENT.contains(&percent).then(|| Slowdown::from_percent(percent))
  }
}
