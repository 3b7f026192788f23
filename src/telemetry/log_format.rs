use super::*;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
  /// One JSON object a line.
  #[default]
  Json,
  /// Readable text for a terminal.
  Terminal,
}

impl FromStr for LogFormat {
  type Err = String;

  fn from_str(text: &str) -> std::result::Result<Self, String> {
    match text {
      "json" => Ok(Self::Json),
      "terminal" => Ok(Self::Terminal),
      _ => Err(format!("`{text}` is not a log format: give json or terminal")),
    }
  }
}
