use super::*;

/// What the headers of an answer say about the rate limit of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitNotice {
  /// They name this limit.
  Named(Rate),
  /// They name none.
  NotNamed,
  /// They name a limit that can't be read.
  Unreadable,
}
