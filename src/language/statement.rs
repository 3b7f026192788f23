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
  Create(Draft),
  /// Deletes an object.
  Delete(ObjectName),
  /// Stops new requests to a box.
  Drain(BoxId),
  /// Writes the daemon's configuration back to a store that was restored to an older state.
  RestoreStore,
  /// Replaces the configuration with that of an older version.
  Rollback(Version),
  /// Changes fields of an object.
  Set(Draft),
  /// Sets the log level of the daemon that answers.
  SetLogLevel(LogLevel),
  /// Allows new requests to a drained box again.
  Undrain(BoxId),
}

impl Statement {
  const CHANGES: [&'static str; 9] =
    ["allow", "apply", "create", "delete", "drain", "restore", "rollback", "set", "undrain"];

  pub(super) fn read(cursor: &mut Cursor) -> Result<Self> {
    let keywords: Vec<&'static str> = Self::CHANGES.into_iter().chain(Question::KEYWORDS).collect();
    let statement = match cursor.one_of(&keywords)? {
      "allow" => {
        cursor.keyword("request")?;
        Self::AllowRequest(
          cursor.value("the fingerprint of a request, as `show suspects` tells it")?,
        )
      }
      "apply" => Self::Apply(cursor.text("a JSON document")?.parse()?),
      "create" => Self::Create(Draft::read(cursor)?),
      "delete" => Self::Delete(Kind::of(cursor.one_of(&Kind::DRAFTED)?).name(cursor)?),
      "drain" => Self::Drain(cursor.value("the name of a box")?),
      "restore" => {
        cursor.keyword("store")?;
        Self::RestoreStore
      }
      "rollback" => {
        cursor.keyword("to")?;
        Self::Rollback(cursor.value("the number of a version")?)
      }
      "set" if cursor.skip("log") => {
        cursor.keyword("level")?;
        Self::SetLogLevel(cursor.value("debug, error, info, trace or warning")?)
      }
      "set" => Self::Set(Draft::read(cursor)?),
      "undrain" => Self::Undrain(cursor.value("the name of a box")?),
      question => Self::Ask(Question::read(question, cursor)?),
    };
    cursor.finish()?;
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
      Self::Create(draft) => write!(f, "create {draft}"),
      Self::Delete(object) => write!(f, "delete {object}"),
      Self::Drain(box_id) => write!(f, "drain {box_id}"),
      Self::RestoreStore => write!(f, "restore store"),
      Self::Rollback(version) => write!(f, "rollback to {version}"),
      Self::Set(draft) => write!(f, "set {draft}"),
      Self::SetLogLevel(level) => write!(f, "set log level {level}"),
      Self::Undrain(box_id) => write!(f, "undrain {box_id}"),
    }
  }
}
