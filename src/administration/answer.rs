use super::*;

/// The answer to a statement. Programs rely on this form.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Answer {
  /// The configuration as a document, for `export`.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub document: Option<serde_json::Value>,
  /// The message for operators; may be empty.
  pub message: String,
  /// The outcome of the statement.
  pub outcome: AnswerOutcome,
  /// The rows that were asked for.
  #[serde(default)]
  pub table: Table,
  /// The version of the configuration that the answer refers to.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub version: Option<Version>,
}

impl Answer {
  /// Returns the answer to a statement that was carried out.
  pub fn done(message: impl Into<String>) -> Self {
    Self {
      document: None,
      message: message.into(),
      outcome: AnswerOutcome::Done,
      table: Table::default(),
      version: None,
    }
  }

  /// Returns the answer to a question, with its rows.
  pub fn table(message: impl Into<String>, table: Table) -> Self {
    Self { table, ..Self::done(message) }
  }

  /// Returns the answer to a statement that may have taken effect.
  pub fn unknown(message: impl Into<String>) -> Self {
    Self { outcome: AnswerOutcome::Unknown, ..Self::done(message) }
  }

  /// Returns this answer with `version` set.
  #[must_use]
  pub fn with_version(self, version: Version) -> Self {
    Self { version: Some(version), ..self }
  }

  /// Returns the answer as JSON, with each row as an object.
  pub fn to_json(&self) -> serde_json::Value {
    serde_json::json!({
      "document": self.document,
      "message": self.message,
      "outcome": self.outcome,
      "rows": self.table.to_objects(),
      "version": self.version,
    })
  }
}

impl Display for Answer {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    if !self.table.columns.is_empty() {
      self.table.fmt(f)?;
    }
    if let Some(document) = &self.document {
      return writeln!(f, "{}", serde_json::to_string_pretty(document).map_err(|_| fmt::Error)?);
    }
    if self.message.is_empty() { Ok(()) } else { writeln!(f, "{}", self.message) }
  }
}
