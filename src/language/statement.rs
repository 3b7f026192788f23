use super::*;

/// A statement of the operators' language.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Statement {
  /// Releases a request from the quarantine.
  AllowRequest(Fingerprint),
  /// Replaces the configuration with a document.
  Apply(Document),
  /// Asks a question; changes nothing.
  Ask(Question),
  /// Creates an object.
  Create(ObjectSpec),
  /// Deletes an object.
  Delete(ObjectName),
  /// Stops new requests to a box.
  Drain(BoxId),
  /// Writes the daemon's configuration back to a store that was restored to an older state.
  RestoreStore,
  /// Replaces the configuration with that of an older version.
  Rollback(Version),
  /// Changes fields of an object.
  Set(ObjectSpec),
  /// Sets the log level of the daemon that answers.
  SetLogLevel(LogLevel),
  /// Allows new requests to a drained box again.
  Undrain(BoxId),
}

impl Statement {
  const CHANGES: [&'static str; 9] =
    ["allow", "apply", "create", "delete", "drain", "restore", "rollback", "set", "undrain"];

  pub(super) fn parse(cursor: &mut Cursor) -> Result<Self> {
    let keywords: Vec<&'static str> = Self::CHANGES.into_iter().chain(Question::KEYWORDS).collect();
    let statement = match cursor.expect_one_of(&keywords)? {
      "allow" => {
        cursor.expect_keyword("request")?;
        Self::AllowRequest(
          cursor.parse_value("the fingerprint of a request, as `show suspects` tells it")?,
        )
      }
      "apply" => Self::Apply(cursor.take_text("a JSON document")?.parse()?),
      "create" => Self::Create(ObjectSpec::parse(cursor)?),
      "delete" => Self::Delete(
        Kind::from_keyword(cursor.expect_one_of(&Kind::OBJECT_KEYWORDS)?).parse_name(cursor)?,
      ),
      "drain" => Self::Drain(cursor.parse_value("the name of a box")?),
      "restore" => {
        cursor.expect_keyword("store")?;
        Self::RestoreStore
      }
      "rollback" => {
        cursor.expect_keyword("to")?;
        Self::Rollback(cursor.parse_value("the number of a version")?)
      }
      "set" if cursor.skip_keyword("log") => {
        cursor.expect_keyword("level")?;
        Self::SetLogLevel(cursor.parse_value("debug, error, info, trace or warning")?)
      }
      "set" => Self::Set(ObjectSpec::parse(cursor)?),
      "undrain" => Self::Undrain(cursor.parse_value("the name of a box")?),
      question => Self::Ask(Question::parse(question, cursor)?),
    };
    cursor.expect_end()?;
    Ok(statement)
  }

  /// Whether the statement changes the configuration.
  pub fn is_change(&self) -> bool {
    !matches!(
      self,
      Self::AllowRequest(_) | Self::Ask(_) | Self::RestoreStore | Self::SetLogLevel(_)
    )
  }
}

impl Display for Statement {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::AllowRequest(fingerprint) => write!(f, "allow request {fingerprint}"),
      Self::Apply(document) => write!(f, "apply {document}"),
      Self::Ask(question) => question.fmt(f),
      Self::Create(spec) => write!(f, "create {spec}"),
      Self::Delete(object) => write!(f, "delete {object}"),
      Self::Drain(box_id) => write!(f, "drain {box_id}"),
      Self::RestoreStore => write!(f, "restore store"),
      Self::Rollback(version) => write!(f, "rollback to {version}"),
      Self::Set(spec) => write!(f, "set {spec}"),
      Self::SetLogLevel(level) => write!(f, "set log level {level}"),
      Self::Undrain(box_id) => write!(f, "undrain {box_id}"),
    }
  }
}
