use super::*;

/// A field of an object with its new value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Field {
  /// Tries of one request at most.
  Attempts(u32),
  /// Milliseconds that a request may take.
  DeadlineMs(u64),
  /// A header that a request must carry.
  Header(String, String),
  /// The host that a request must name, or none.
  Host(Option<String>),
  /// The method that a request must use, or any.
  Method(Option<String>),
  /// A header that a request need not carry any more.
  NoHeader(String),
  /// The team that may change the object.
  Owner(Team),
  /// The path that a request must start with.
  PathPrefix(String),
  /// The policy of a service.
  Policy(PolicyName),
  /// Requests that may wait for a slot.
  QueueLength(u32),
  /// Whether a request may run more than once.
  Repeatable(bool),
  /// The service of a route.
  Service(ServiceName),
}

impl Field {
  /// Takes the fields of an object of a kind, up to the end of the statement.
  pub(super) fn all(kind: Kind, cursor: &mut Cursor) -> Result<Vec<Self>> {
    let mut fields = Vec::new();
    while !cursor.is_finished() {
      fields.push(Self::one(kind, cursor)?);
    }
    Ok(fields)
  }

  fn one(kind: Kind, cursor: &mut Cursor) -> Result<Self> {
    Ok(match cursor.one_of(kind.fields())? {
      "attempts" => Self::Attempts(cursor.value("a number of tries")?),
      "deadline_ms" => Self::DeadlineMs(cursor.value("a number of milliseconds")?),
      "header" => {
        let name = header_name(cursor)?;
        Self::Header(name, cursor.text("the value of the header")?.into())
      }
      "host" => Self::Host(Some(cursor.text("a host")?.into())),
      "method" => Self::Method(Some(method(cursor)?)),
      "no" => Self::none(cursor)?,
      "owner" => Self::Owner(cursor.value("the name of a team")?),
      "path" => Self::PathPrefix(cursor.text("a path that starts with `/`")?.into()),
      "policy" => Self::Policy(cursor.value("the name of a policy")?),
      "queue_length" => Self::QueueLength(cursor.value("a number of requests")?),
      "repeatable" => Self::Repeatable(cursor.one_of(&["no", "yes"])? == "yes"),
      _ => Self::Service(cursor.value("the name of a service")?),
    })
  }

  fn none(cursor: &mut Cursor) -> Result<Self> {
    Ok(match cursor.one_of(&["header", "host", "method"])? {
      "header" => Self::NoHeader(header_name(cursor)?),
      "host" => Self::Host(None),
      _ => Self::Method(None),
    })
  }
}

fn header_name(cursor: &mut Cursor) -> Result<String> {
  let name: HeaderName = cursor.value("the name of a header")?;
  Ok(name.as_str().into())
}

fn method(cursor: &mut Cursor) -> Result<String> {
  let method: Method = cursor.value("an HTTP method")?;
  Ok(method.as_str().into())
}

impl Display for Field {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Attempts(attempts) => write!(f, "attempts {attempts}"),
      Self::DeadlineMs(deadline_ms) => write!(f, "deadline_ms {deadline_ms}"),
      Self::Header(name, value) => write!(f, "header {name} {}", Word::written(value)),
      Self::Host(Some(host)) => write!(f, "host {}", Word::written(host)),
      Self::Host(None) => write!(f, "no host"),
      Self::Method(Some(method)) => write!(f, "method {method}"),
      Self::Method(None) => write!(f, "no method"),
      Self::NoHeader(name) => write!(f, "no header {name}"),
      Self::Owner(team) => write!(f, "owner {team}"),
      Self::PathPrefix(path) => write!(f, "path {}", Word::written(path)),
      Self::Policy(policy) => write!(f, "policy {policy}"),
      Self::QueueLength(length) => write!(f, "queue_length {length}"),
      Self::Repeatable(repeatable) => {
        write!(f, "repeatable {}", if *repeatable { "yes" } else { "no" })
      }
      Self::Service(service) => write!(f, "service {service}"),
    }
  }
}
