use super::*;

/// Why settings cannot be used.
#[derive(Debug)]
pub enum Error {
  /// The content has faults.
  Faults(Vec<Fault>),
  /// The text is not JSON.
  Json {
    /// The error of the parser, with line and column.
    reason: String,
  },
  /// The file cannot be read.
  Unreadable {
    /// The file.
    path: PathBuf,
    /// What went wrong.
    reason: String,
  },
}

impl Display for Error {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Faults(faults) => {
        write!(f, "the settings have {} fault(s), mend each:", faults.len())?;
        faults.iter().try_for_each(|fault| write!(f, "\n  {fault}"))
      }
      Self::Json { reason } => write!(f, "the settings are not JSON ({reason}): mend the text"),
      Self::Unreadable { path, reason } => {
        write!(f, "the settings file {} cannot be read: {reason}", path.display())
      }
    }
  }
}

impl StdError for Error {}
