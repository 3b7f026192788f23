/// How a backend server's report was handled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportOutcome {
  /// It had new content.
  Accepted,
  /// Ignored, as it doesn't come from a process of this backend server.
  Rejected(&'static str),
  /// Ignored, as it is older than what is known.
  Stale,
}
