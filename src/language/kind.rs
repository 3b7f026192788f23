use super::*;

/// The kinds of objects in a configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
  /// Drains of boxes.
  Drain,
  /// Organisations.
  Organisation,
  /// Backend server policies.
  Policy,
  /// Routes.
  Route,
  /// Services.
  Service,
}

impl Kind {
  /// The kinds that `create`, `set` and `delete` accept.
  pub(super) const OBJECT_KEYWORDS: [&'static str; 4] =
    ["organisation", "policy", "route", "service"];
  /// The plural keywords of all kinds, which `show` lists.
  pub(super) const PLURALS: [&'static str; 5] =
    ["drains", "organisations", "policies", "routes", "services"];

  pub(super) fn from_keyword(keyword: &str) -> Self {
    match keyword {
      "drain" | "drains" => Self::Drain,
      "organisation" | "organisations" => Self::Organisation,
      "policies" | "policy" => Self::Policy,
      "route" | "routes" => Self::Route,
      _ => Self::Service,
    }
  }

  /// Returns the plural keyword of the kind.
  pub fn plural(self) -> &'static str {
    match self {
      Self::Drain => "drains",
      Self::Organisation => "organisations",
      Self::Policy => "policies",
      Self::Route => "routes",
      Self::Service => "services",
    }
  }

  /// Returns the kind of the object that `name` names.
  pub fn of_object(name: &ObjectName) -> Self {
    match name {
      ObjectName::Drain(_) => Self::Drain,
      ObjectName::Organisation(_) => Self::Organisation,
      ObjectName::Policy(_) => Self::Policy,
      ObjectName::Route(_) => Self::Route,
      ObjectName::Service(_) => Self::Service,
    }
  }

  /// Reads the name of an object of this kind.
  pub(super) fn parse_name(self, cursor: &mut Cursor) -> Result<ObjectName> {
    Ok(match self {
      Self::Drain => ObjectName::Drain(cursor.parse_value("the name of a box")?),
      Self::Organisation => {
        ObjectName::Organisation(cursor.parse_value("the name of an organisation")?)
      }
      Self::Policy => ObjectName::Policy(cursor.parse_value("the name of a policy")?),
      Self::Route => ObjectName::Route(cursor.parse_value("the name of a route")?),
      Self::Service => ObjectName::Service(cursor.parse_value("the name of a service")?),
    })
  }

  /// Returns the keywords that start a field of this kind.
  pub(super) fn fields(self) -> &'static [&'static str] {
    match self {
      Self::Drain => &[],
      Self::Organisation => &["burst", "key_digest", "no", "owner", "priority", "rate", "region"],
      Self::Policy => &["attempts", "deadline_ms", "owner", "queue_length"],
      Self::Route => &["header", "host", "method", "no", "owner", "path", "repeatable", "service"],
      Self::Service => &["owner", "policy"],
    }
  }
}
