use super::*;

/// One report of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendReport {
  /// Milliseconds for which the process is still slow from its start.
  pub cold_left_ms: u64,
  /// Whether it is on its way out.
  pub leaving: bool,
  /// The process that reports.
  pub process: Process,
  /// Grows with each report of one process.
  pub sequence: u64,
  /// The service that it serves.
  pub service: ServiceName,
  /// Requests that it runs at once.
  pub slots: u32,
  /// The version of its software, where it tells one.
  pub software: Option<SoftwareVersion>,
}
