use super::*;

/// A parsed script: changes that take effect together, or one statement of another sort.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Script {
  /// Whether to show the difference without changing anything.
  pub dry_run: bool,
  /// The version that must be the newest one for the changes to take effect.
  pub only_at: Option<Version>,
  /// The operator's reason for the changes.
  pub reason: Option<String>,
  /// The statements: either changes only, or a single one.
  pub statements: Vec<Statement>,
}

impl FromStr for Script {
  type Err = Error;

  fn from_str(text: &str) -> Result<Self> {
    if text.len() > SCRIPT_BYTES_MAX {
      return Err(Error::TooLong);
    }
    let words = Word::split(text)?;
    let end = text.chars().count() + 1;
    let parts: Vec<&[Word]> =
      words.split(Word::is_separator).filter(|part| !part.is_empty()).collect();
    if parts.len() > STATEMENTS_MAX {
      return Err(Error::TooLong);
    }
    let mut first = Cursor::new(parts.first().copied().unwrap_or_default(), end);
    let dry_run = first.skip_keyword("dry");
    if dry_run {
      first.expect_keyword("run")?;
    }
    let mut only_at = None;
    if first.skip_keyword("if") {
      first.expect_keyword("version")?;
      only_at = Some(first.parse_value("the number of a version")?);
    }
    let mut reason = None;
    if first.skip_keyword("reason") {
      reason = Some(first.take_text("the reason in quotes")?.to_string());
    }
    let mut statements = vec![Statement::parse(&mut first)?];
    for part in parts.into_iter().skip(1) {
      statements.push(Statement::parse(&mut Cursor::new(part, end))?);
    }
    if statements.len() > 1 && !statements.iter().all(Statement::is_change) {
      return Err(Error::MixedStatements);
    }
    Ok(Self { dry_run, only_at, reason, statements })
  }
}

impl Display for Script {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    if self.dry_run {
      write!(f, "dry run ")?;
    }
    if let Some(version) = self.only_at {
      write!(f, "if version {version} ")?;
    }
    if let Some(reason) = &self.reason {
      write!(f, "reason {} ", quoted(reason))?;
    }
    for (index, statement) in self.statements.iter().enumerate() {
      let separator = if index == 0 { "" } else { "; " };
      write!(f, "{separator}{statement}")?;
    }
    Ok(())
  }
}

fn quoted(text: &str) -> String {
  format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}
