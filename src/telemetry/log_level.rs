use super::*;

/// Lowest severity that is logged.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
  /// Details for developers.
  Debug,
  /// Errors that need an operator.
  Error,
  /// Normal events.
  #[default]
  Info,
  /// Everything.
  Trace,
  /// Events that may need an operator.
  Warning,
}

impl LogLevel {
  /// Returns the level of the log library.
  pub fn threshold(self) -> Level {
    match self {
      Self::Debug => Level::Debug,
      Self::Error => Level::Error,
      Self::Info => Level::Info,
      Self::Trace => Level::Trace,
      Self::Warning => Level::Warning,
    }
  }
}

impl Display for LogLevel {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.pad(match self {
      Self::Debug => "debug",
      Self::Error => "error",
      Self::Info => "info",
      Self::Trace => "trace",
      Self::Warning => "warning",
    })
  }
}

impl FromStr for LogLevel {
  type Err = String;

  fn from_str(text: &str) -> std::result::Result<Self, String> {
    let all = [Self::Debug, Self::Error, Self::Info, Self::Trace, Self::Warning];
    let named = all.into_iter().find(|level| level.to_string() == text);
    named.ok_or_else(|| {
      format!("`{text}` is not a log level: give debug, error, info, trace or warning")
    })
  }
}
