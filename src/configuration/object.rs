use super::*;

/// One configuration object with its name.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Object {
  /// The drain of a box.
  Drain(BoxId, Drain),
  /// An organisation.
  Organisation(OrganisationName, Organisation),
  /// A backend server policy.
  Policy(PolicyName, Policy),
  /// A route.
  Route(RouteName, Route),
  /// A service.
  Service(ServiceName, Service),
}

impl Object {
  /// The object's name.
  pub fn name(&self) -> ObjectName {
    match self {
      Self::Drain(name, _) => ObjectName::Drain(name.clone()),
      Self::Organisation(name, _) => ObjectName::Organisation(name.clone()),
      Self::Policy(name, _) => ObjectName::Policy(name.clone()),
      Self::Route(name, _) => ObjectName::Route(name.clone()),
      Self::Service(name, _) => ObjectName::Service(name.clone()),
    }
  }

  /// The team that may change the object.
  pub fn owner(&self) -> &Team {
    match self {
      Self::Drain(_, drain) => &drain.owner,
      Self::Organisation(_, organisation) => &organisation.owner,
      Self::Policy(_, policy) => &policy.owner,
      Self::Route(_, route) => &route.owner,
      Self::Service(_, service) => &service.owner,
    }
  }
}
