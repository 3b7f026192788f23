use super::*;

/// The kind and name of one configuration object.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectName {
  /// The drain of a box.
  Drain(BoxId),
  /// An organisation.
  Organisation(OrganisationName),
  /// A backend server policy.
  Policy(PolicyName),
  /// A route.
  Route(RouteName),
  /// A service.
  Service(ServiceName),
}

impl Display for ObjectName {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Drain(name) => write!(f, "drain {name}"),
      Self::Organisation(name) => write!(f, "organisation {name}"),
      Self::Policy(name) => write!(f, "policy {name}"),
      Self::Route(name) => write!(f, "route {name}"),
      Self::Service(name) => write!(f, "service {name}"),
    }
  }
}
