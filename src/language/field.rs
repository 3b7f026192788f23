use super::*;

/// A field of an object and the value that a statement gives it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Field {
  /// Limit on attempts of a request.
  Attempts(u32),
  /// Requests above its rate limit that an organisation may send in a burst.
  Burst(u64),
  /// Timeout of a request in milliseconds.
  DeadlineMs(u64),
  /// A header that a request must carry.
  Header(String, String),
  /// The host that a request must name, or none.
  Host(Option<String>),
  /// The digest of an API key that authenticates an organisation.
  KeyDigest(KeyDigest),
  /// The method that a request must use, or any.
  Method(Option<String>),
  /// Removes a header condition.
  NoHeader(String),
  /// Removes an API key.
  NoKeyDigest(KeyDigest),
  /// Removes a region from those in which an organisation's requests may be served.
  NoRegion(Region),
  /// The team that may change the object.
  Owner(Team),
  /// The path that a request must start with.
  PathPrefix(String),
  /// The policy of a service.
  Policy(PolicyName),
  /// The priority of an organisation's requests, 0 first; `None` for that of their route.
  Priority(Option<u32>),
  /// Limit on requests that wait for a slot.
  QueueLength(u32),
  /// Rate limit of an organisation in requests per second; `None` for no limit.
  Rate(Option<Rate>),
  /// A region in which an organisation's requests may be served.
  Region(Region),
  /// Whether a request may be run more than once.
  Repeatable(bool),
  /// The service of a route.
  Service(ServiceName),
}

impl Field {
  /// Reads the fields of an object of `kind` up to the end of the statement.
  pub(super) fn parse_all(kind: Kind, cursor: &mut Cursor) -> Result<Vec<Self>> {
    let mut fields = Vec::new();
    while !cursor.is_at_end() {
      fields.push(Self::parse(kind, cursor)?);
    }
    Ok(fields)
  }

  fn parse(kind: Kind, cursor: &mut Cursor) -> Result<Self> {
    Ok(match cursor.expect_one_of(kind.fields())? {
      "attempts" => Self::Attempts(cursor.parse_value("a number of tries")?),
      "burst" => Self::Burst(cursor.parse_value("a number of requests")?),
      "deadline_ms" => Self::DeadlineMs(cursor.parse_value("a number of milliseconds")?),
      "header" => {
        let name = parse_header_name(cursor)?;
        Self::Header(name, cursor.take_text("the value of the header")?.into())
      }
      "host" => Self::Host(Some(cursor.take_text("a host")?.into())),
      "key_digest" => Self::KeyDigest(cursor.parse_value("the digest of a key")?),
      "method" => Self::Method(Some(parse_method(cursor)?)),
      "no" if kind == Kind::Organisation => Self::parse_organisation_removal(cursor)?,
      "no" => Self::parse_removal(cursor)?,
      "owner" => Self::Owner(cursor.parse_value("the name of a team")?),
      "path" => Self::PathPrefix(cursor.take_text("a path that starts with `/`")?.into()),
      "policy" => Self::Policy(cursor.parse_value("the name of a policy")?),
      "priority" => Self::Priority(Some(cursor.parse_value("a rank, 0 first")?)),
      "queue_length" => Self::QueueLength(cursor.parse_value("a number of requests")?),
      "rate" => Self::Rate(Some(cursor.parse_value("requests a second")?)),
      "region" => Self::Region(cursor.parse_value("the name of a region")?),
      "repeatable" => Self::Repeatable(cursor.expect_one_of(&["no", "yes"])? == "yes"),
      _ => Self::Service(cursor.parse_value("the name of a service")?),
    })
  }

  fn parse_removal(cursor: &mut Cursor) -> Result<Self> {
    Ok(match cursor.expect_one_of(&["header", "host", "method"])? {
      "header" => Self::NoHeader(parse_header_name(cursor)?),
      "host" => Self::Host(None),
      _ => Self::Method(None),
    })
  }

  fn parse_organisation_removal(cursor: &mut Cursor) -> Result<Self> {
    Ok(match cursor.expect_one_of(&["key_digest", "priority", "rate", "region"])? {
      "key_digest" => Self::NoKeyDigest(cursor.parse_value("the digest of a key")?),
      "priority" => Self::Priority(None),
      "rate" => Self::Rate(None),
      _ => Self::NoRegion(cursor.parse_value("the name of a region")?),
    })
  }
}

fn parse_header_name(cursor: &mut Cursor) -> Result<String> {
  let name: HeaderName = cursor.parse_value("the name of a header")?;
  Ok(name.as_str().into())
}

fn parse_method(cursor: &mut Cursor) -> Result<String> {
  let method: Method = cursor.parse_value("an HTTP method")?;
  Ok(method.as_str().into())
}

impl Display for Field {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Attempts(attempts) => write!(f, "attempts {attempts}"),
      Self::Burst(burst) => write!(f, "burst {burst}"),
      Self::DeadlineMs(deadline_ms) => write!(f, "deadline_ms {deadline_ms}"),
      Self::Header(name, value) => write!(f, "header {name} {}", text::quoted(value)),
      Self::Host(Some(host)) => write!(f, "host {}", text::quoted(host)),
      Self::Host(None) => write!(f, "no host"),
      Self::KeyDigest(digest) => write!(f, "key_digest {digest}"),
      Self::Method(Some(method)) => write!(f, "method {method}"),
      Self::Method(None) => write!(f, "no method"),
      Self::NoHeader(name) => write!(f, "no header {name}"),
      Self::NoKeyDigest(digest) => write!(f, "no key_digest {digest}"),
      Self::NoRegion(region) => write!(f, "no region {region}"),
      Self::Owner(team) => write!(f, "owner {team}"),
      Self::PathPrefix(path) => write!(f, "path {}", text::quoted(path)),
      Self::Policy(policy) => write!(f, "policy {policy}"),
      Self::Priority(Some(priority)) => write!(f, "priority {priority}"),
      Self::Priority(None) => write!(f, "no priority"),
      Self::QueueLength(length) => write!(f, "queue_length {length}"),
      Self::Rate(Some(rate)) => write!(f, "rate {rate}"),
      Self::Rate(None) => write!(f, "no rate"),
      Self::Region(region) => write!(f, "region {region}"),
      Self::Repeatable(repeatable) => {
        write!(f, "repeatable {}", if *repeatable { "yes" } else { "no" })
      }
      Self::Service(service) => write!(f, "service {service}"),
    }
  }
}
