use super::*;

/// A report of a backend server to its daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendReport {
  /// The remaining warm-up of the process, in milliseconds.
  pub cold_left_ms: u64,
  /// Whether the process is shutting down.
  pub leaving: bool,
  /// The process that reports.
  pub process: Process,
  /// Grows with each report of one process.
  pub sequence: u64,
  /// The service that it serves.
  pub service: ServiceName,
  /// The number of requests that it runs at once.
  pub slots: u32,
  /// Its software version, if reported.
  pub software: Option<SoftwareVersion>,
}
