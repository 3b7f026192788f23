use super::*;

/// A whole configuration without versions, as `export` returns and `apply` accepts it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
  /// Boxes that receive no new requests.
  pub drains: BTreeMap<BoxId, Drain>,
  /// Organisations.
  #[serde(skip_serializing_if = "BTreeMap::is_empty")]
  pub organisations: BTreeMap<OrganisationName, Organisation>,
  /// Backend server policies.
  pub policies: BTreeMap<PolicyName, Policy>,
  /// Routes.
  pub routes: BTreeMap<RouteName, Route>,
  /// Services.
  pub services: BTreeMap<ServiceName, Service>,
}

impl Document {
  /// Returns the document of a configuration.
  pub fn of(configuration: &Configuration) -> Self {
    fn plain<K: Clone + Ord, V: Clone>(
      objects: &BTreeMap<K, configuration::Revised<V>>,
    ) -> BTreeMap<K, V> {
      objects.iter().map(|(name, object)| (name.clone(), object.value.clone())).collect()
    }
    Self {
      drains: plain(&configuration.drains),
      organisations: plain(&configuration.organisations),
      policies: plain(&configuration.policies),
      routes: plain(&configuration.routes),
      services: plain(&configuration.services),
    }
  }

  fn objects(&self) -> Vec<Object> {
    let drains = self.drains.iter().map(|(name, one)| Object::Drain(name.clone(), one.clone()));
    let organisations = self.organisations.iter();
    let organisations =
      organisations.map(|(name, one)| Object::Organisation(name.clone(), one.clone()));
    let policies =
      self.policies.iter().map(|(name, one)| Object::Policy(name.clone(), one.clone()));
    let routes = self.routes.iter().map(|(name, one)| Object::Route(name.clone(), one.clone()));
    let services =
      self.services.iter().map(|(name, one)| Object::Service(name.clone(), one.clone()));
    drains.chain(organisations).chain(policies).chain(routes).chain(services).collect()
  }

  /// Returns the operations that turn `configuration` into this document; none if they are equal.
  pub fn operations_from(&self, configuration: &Configuration) -> Vec<Operation> {
    let wanted = self.objects();
    let names: BTreeSet<ObjectName> = wanted.iter().map(Object::name).collect();
    let extra = configuration.object_names().into_iter().filter(|name| !names.contains(name));
    let deletions = extra.map(Operation::Delete);
    let differs = |object: &Object| configuration.object(&object.name()).as_ref() != Some(object);
    let puts = wanted.into_iter().filter(differs).map(Operation::Put);
    deletions.chain(puts).collect()
  }
}

impl Display for Document {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.write_str(&serde_json::to_string(self).map_err(|_| fmt::Error)?)
  }
}

impl FromStr for Document {
  type Err = Error;

  fn from_str(text: &str) -> Result<Self> {
    serde_json::from_str(text).map_err(|err| Error::Document { reason: err.to_string() })
  }
}
