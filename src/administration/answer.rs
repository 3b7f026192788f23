use super::*;

/// What a statement brought, in a form that stays stable for programs.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Answer {
  /// The configuration as a document, for `export`.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub document: Option<serde_json::Value>,
  /// What to tell people.
  pub message: String,
  /// How the statement ended.
  pub outcome: AnswerOutcome,
  /// What was asked for.
  #[serde(default)]
  pub table: Table,
  /// The version that the answer is about.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub version: Option<Version>,
}

impl Answer {
  /// A statement that was carried out.
  pub fn done(message: impl Into<String>) -> Self {
    Self {
      document: None,
      message: message.into(),
      outcome: AnswerOutcome::Done,
      table: Table::default(),
      version: None,
    }
  }

  /// A table of what was asked for.
  pub fn table(message: impl Into<String>, table: Table) -> Self {
    Self { table, ..Self::done(message) }
  }

  /// A statement that may have taken effect.
  pub fn unknown(message: impl Into<String>) -> Self {
    Self { outcome: AnswerOutcome::Unknown, ..Self::done(message) }
  }

  /// The same about a version.
  #[must_use]
  pub fn at(self, version: Version) -> Self {
    Self { version: Some(version), ..self }
  }

  /// The answer as JSON, with rows as objects.
  pub fn json(&self) -> serde_json::Value {
    serde_json::json!({
      "document": self.document,
      "message": self.message,
      "outcome": self.outcome,
      "rows": self.table.objects(),
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
