use super::*;

/// A statement that changes nothing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Question {
  /// What runs of a service's routes call, as this box knows it.
  Calls(ServiceName),
  /// The result of a change, by its id.
  Change(ChangeId),
  /// The difference between two versions.
  Difference(Version, Version),
  /// The route and the candidates for a request.
  Explain {
    /// The headers, with names in lower case.
    headers: Vec<(String, String)>,
    /// The host, or `-` for any.
    host: String,
    /// The method.
    method: String,
    /// The path.
    path: String,
  },
  /// The whole configuration as a document.
  Export,
  /// The boxes of the fleet.
  Fleet,
  /// The last accepted changes, up to the given number.
  History(u32),
  /// Which boxes apply a version; the newest version if none is given.
  Rollout(Option<Version>),
  /// The objects of a kind whose fields have all the given values.
  Show(Kind, Vec<(String, String)>),
  /// One object.
  ShowObject(ObjectName),
  /// The room of a service as this box knows it, and who gets it.
  Room(ServiceName),
  /// The progress of the rollout of a service's software.
  SoftwareRollout(ServiceName),
  /// The status of the daemon that answers.
  Status,
  /// The requests during which backend servers crashed.
  Suspects,
  /// Why a box holds a route.
  WhyBox(BoxId, RouteName),
  /// The recorded steps of a request.
  WhyRequest(RequestId),
}

impl Question {
  /// The keywords that start a question.
  pub(super) const KEYWORDS: [&'static str; 9] =
    ["difference", "explain", "export", "fleet", "history", "rollout", "show", "status", "why"];
  /// Number of changes that `history` shows by default.
  const HISTORY_DEFAULT: u32 = 20;

  pub(super) fn parse(keyword: &str, cursor: &mut Cursor) -> Result<Self> {
    let version = "the number of a version";
    Ok(match keyword {
      "difference" => Self::Difference(cursor.parse_value(version)?, cursor.parse_value(version)?),
      "explain" => Self::parse_explain(cursor)?,
      "export" => Self::Export,
      "fleet" => Self::Fleet,
      "history" if cursor.is_at_end() => Self::History(Self::HISTORY_DEFAULT),
      "history" => Self::History(cursor.parse_value("a number of changes")?),
      "rollout" if cursor.is_at_end() => Self::Rollout(None),
      "rollout" if cursor.skip_keyword("service") => {
        Self::SoftwareRollout(cursor.parse_value("the name of a service")?)
      }
      "rollout" => Self::Rollout(Some(cursor.parse_value(version)?)),
      "show" => Self::parse_show(cursor)?,
      "status" => Self::Status,
      _ => Self::parse_why(cursor)?,
    })
  }

  fn parse_explain(cursor: &mut Cursor) -> Result<Self> {
    cursor.expect_keyword("request")?;
    let method: Method = cursor.parse_value("an HTTP method")?;
    let host = cursor.take_text("a host, or `-` for any")?.to_string();
    let path = cursor.take_text("a path")?.to_string();
    let mut headers = Vec::new();
    while !cursor.is_at_end() {
      cursor.expect_keyword("header")?;
      let name: HeaderName = cursor.parse_value("the name of a header")?;
      let value = cursor.take_text("the value of the header")?;
      headers.push((name.as_str().to_string(), value.to_string()));
    }
    Ok(Self::Explain { headers, host, method: method.to_string(), path })
  }

  fn parse_show(cursor: &mut Cursor) -> Result<Self> {
    const KEYWORDS: [&str; 14] = [
      "calls",
      "change",
      "drain",
      "drains",
      "organisation",
      "organisations",
      "policies",
      "policy",
      "room",
      "route",
      "routes",
      "service",
      "services",
      "suspects",
    ];
    let keyword = cursor.expect_one_of(&KEYWORDS)?;
    if keyword == "suspects" {
      return Ok(Self::Suspects);
    }
    if ["calls", "room"].contains(&keyword) {
      cursor.expect_keyword("of")?;
      let service = cursor.parse_value("the name of a service")?;
      return Ok(if keyword == "room" { Self::Room(service) } else { Self::Calls(service) });
    }
    if keyword == "change" {
      return Ok(Self::Change(cursor.parse_value("the id of a change")?));
    }
    let kind = Kind::from_keyword(keyword);
    if !Kind::PLURALS.contains(&keyword) {
      return Ok(Self::ShowObject(kind.parse_name(cursor)?));
    }
    let mut filters = Vec::new();
    while !cursor.is_at_end() {
      cursor.expect_keyword("where")?;
      let field = cursor.take_text("a field")?.to_string();
      filters.push((field, cursor.take_text("a value")?.to_string()));
    }
    Ok(Self::Show(kind, filters))
  }

  fn parse_why(cursor: &mut Cursor) -> Result<Self> {
    if cursor.expect_one_of(&["box", "request"])? == "request" {
      return Ok(Self::WhyRequest(cursor.parse_value("the id of a request")?));
    }
    let box_id = cursor.parse_value("the name of a box")?;
    cursor.expect_keyword("holds")?;
    cursor.expect_keyword("route")?;
    Ok(Self::WhyBox(box_id, cursor.parse_value("the name of a route")?))
  }
}

impl Display for Question {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Calls(service) => write!(f, "show calls of {service}"),
      Self::Change(id) => write!(f, "show change {id}"),
      Self::Difference(from, to) => write!(f, "difference {from} {to}"),
      Self::Explain { headers, host, method, path } => {
        let (host, path) = (text::quoted(host), text::quoted(path));
        write!(f, "explain request {method} {host} {path}")?;
        headers
          .iter()
          .try_for_each(|(name, value)| write!(f, " header {name} {}", text::quoted(value)))
      }
      Self::Export => write!(f, "export"),
      Self::Fleet => write!(f, "fleet"),
      Self::History(count) => write!(f, "history {count}"),
      Self::Rollout(None) => write!(f, "rollout"),
      Self::Rollout(Some(version)) => write!(f, "rollout {version}"),
      Self::Room(service) => write!(f, "show room of {service}"),
      Self::SoftwareRollout(service) => write!(f, "rollout service {service}"),
      Self::Show(kind, filters) => {
        write!(f, "show {}", kind.plural())?;
        filters.iter().try_for_each(|(field, value)| {
          write!(f, " where {} {}", text::quoted(field), text::quoted(value))
        })
      }
      Self::ShowObject(object) => write!(f, "show {object}"),
      Self::Status => write!(f, "status"),
      Self::Suspects => write!(f, "show suspects"),
      Self::WhyBox(box_id, route) => write!(f, "why box {box_id} holds route {route}"),
      Self::WhyRequest(id) => write!(f, "why request {id}"),
    }
  }
}
