use super::*;

/// A statement that changes nothing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Question {
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
  /// The progress of the rollout of a service's software.
  RolloutOf(ServiceName),
  /// The objects of a kind whose fields have all the given values.
  Show(Kind, Vec<(String, String)>),
  /// One object.
  ShowOne(ObjectName),
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

  pub(super) fn read(keyword: &str, cursor: &mut Cursor) -> Result<Self> {
    let version = "the number of a version";
    Ok(match keyword {
      "difference" => Self::Difference(cursor.value(version)?, cursor.value(version)?),
      "explain" => Self::read_explain(cursor)?,
      "export" => Self::Export,
      "fleet" => Self::Fleet,
      "history" if cursor.is_finished() => Self::History(Self::HISTORY_DEFAULT),
      "history" => Self::History(cursor.value("a number of changes")?),
      "rollout" if cursor.is_finished() => Self::Rollout(None),
      "rollout" if cursor.skip("service") => {
        Self::RolloutOf(cursor.value("the name of a service")?)
      }
      "rollout" => Self::Rollout(Some(cursor.value(version)?)),
      "show" => Self::read_show(cursor)?,
      "status" => Self::Status,
      _ => Self::read_why(cursor)?,
    })
  }

  fn read_explain(cursor: &mut Cursor) -> Result<Self> {
    cursor.keyword("request")?;
    let method: Method = cursor.value("an HTTP method")?;
    let host = cursor.text("a host, or `-` for any")?.to_string();
    let path = cursor.text("a path")?.to_string();
    let mut headers = Vec::new();
    while !cursor.is_finished() {
      cursor.keyword("header")?;
      let name: HeaderName = cursor.value("the name of a header")?;
      let value = cursor.text("the value of the header")?;
      headers.push((name.as_str().to_string(), value.to_string()));
    }
    Ok(Self::Explain { headers, host, method: method.to_string(), path })
  }

  fn read_show(cursor: &mut Cursor) -> Result<Self> {
    const KEYWORDS: [&str; 12] = [
      "change",
      "drain",
      "drains",
      "organisation",
      "organisations",
      "policies",
      "policy",
      "route",
      "routes",
      "service",
      "services",
      "suspects",
    ];
    let keyword = cursor.one_of(&KEYWORDS)?;
    if keyword == "suspects" {
      return Ok(Self::Suspects);
    }
    if keyword == "change" {
      return Ok(Self::Change(cursor.value("the id of a change")?));
    }
    let kind = Kind::of(keyword);
    if !Kind::PLURALS.contains(&keyword) {
      return Ok(Self::ShowOne(kind.name(cursor)?));
    }
    let mut filters = Vec::new();
    while !cursor.is_finished() {
      cursor.keyword("where")?;
      let field = cursor.text("a field")?.to_string();
      filters.push((field, cursor.text("a value")?.to_string()));
    }
    Ok(Self::Show(kind, filters))
  }

  fn read_why(cursor: &mut Cursor) -> Result<Self> {
    if cursor.one_of(&["box", "request"])? == "request" {
      return Ok(Self::WhyRequest(cursor.value("the id of a request")?));
    }
    let box_id = cursor.value("the name of a box")?;
    cursor.keyword("holds")?;
    cursor.keyword("route")?;
    Ok(Self::WhyBox(box_id, cursor.value("the name of a route")?))
  }
}

impl Display for Question {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Change(id) => write!(f, "show change {id}"),
      Self::Difference(from, to) => write!(f, "difference {from} {to}"),
      Self::Explain { headers, host, method, path } => {
        let (host, path) = (Word::written(host), Word::written(path));
        write!(f, "explain request {method} {host} {path}")?;
        headers
          .iter()
          .try_for_each(|(name, value)| write!(f, " header {name} {}", Word::written(value)))
      }
      Self::Export => write!(f, "export"),
      Self::Fleet => write!(f, "fleet"),
      Self::History(count) => write!(f, "history {count}"),
      Self::Rollout(None) => write!(f, "rollout"),
      Self::Rollout(Some(version)) => write!(f, "rollout {version}"),
      Self::RolloutOf(service) => write!(f, "rollout service {service}"),
      Self::Show(kind, filters) => {
        write!(f, "show {}", kind.plural())?;
        filters.iter().try_for_each(|(field, value)| {
          write!(f, " where {} {}", Word::written(field), Word::written(value))
        })
      }
      Self::ShowOne(object) => write!(f, "show {object}"),
      Self::Status => write!(f, "status"),
      Self::Suspects => write!(f, "show suspects"),
      Self::WhyBox(box_id, route) => write!(f, "why box {box_id} holds route {route}"),
      Self::WhyRequest(id) => write!(f, "why request {id}"),
    }
  }
}
