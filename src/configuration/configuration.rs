use super::*;

/// One complete, numbered version of everything that operators configure.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Configuration {
  /// Boxes that receive no new requests.
  pub drains: BTreeMap<BoxId, Revised<Drain>>,
  /// Limits on callers' requests.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub limits: Option<CallerLimits>,
  /// What the source lists, but cannot be read.
  #[serde(default, skip_serializing_if = "Vec::is_empty")]
  pub omissions: Vec<Omission>,
  /// Organisations. If there are any, each request must carry a key of one, except on public
  /// routes.
  #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
  pub organisations: BTreeMap<OrganisationName, Revised<Organisation>>,
  /// Backend server policies.
  pub policies: BTreeMap<PolicyName, Revised<Policy>>,
  /// Routes. Every route's service is in `services`.
  pub routes: BTreeMap<RouteName, Revised<Route>>,
  /// Services. Every service's policy is in `policies`.
  pub services: BTreeMap<ServiceName, Revised<Service>>,
  /// The number of this version.
  pub version: Version,
}

/// Longest path prefix in bytes that a change may set.
const PATH_BYTES_MAX: usize = 1_000;

fn path_out_of_range(route: &RouteName) -> Error {
  Error::OutOfRange {
    allowed: "1 to 1000 characters that start with `/`",
    field: "path_prefix",
    object: ObjectName::Route(route.clone()),
  }
}

impl Configuration {
  /// Validates `change` against this version and returns it as the change to the next version.
  ///
  /// `history` serves to name the author of a conflicting change.
  ///
  /// # Errors
  ///
  /// Fails if the change conflicts, or if its result is invalid or too large for the store.
  pub fn accept(&self, change: &Change, history: &[ChangeSummary]) -> Result<AcceptedChange> {
    if change.operations.is_empty() {
      return Err(Error::NoOperations);
    }
    if let Some(demanded) = change.only_at.filter(|demanded| *demanded != self.version) {
      return Err(Error::VersionMoved { demanded, newest: self.version });
    }
    for operation in &change.operations {
      self.check_conflict(&operation.target(), change.base, history)?;
    }
    let next = self.with_operations(self.version.next(), &change.operations)?;
    next.validate()?;
    next.check_path_lengths()?;
    next.check_size()?;
    Ok(AcceptedChange {
      digest: next.digest(),
      operations: change.operations.clone(),
      summary: ChangeSummary::of(change, next.version),
    })
  }

  /// Returns the configuration after `change`. Fails if an operation does, or the digest differs.
  pub fn apply(&self, change: &AcceptedChange) -> Result<Self> {
    let next = self.with_operations(change.version(), &change.operations)?;
    if next.digest() != change.digest {
      return Err(Error::DigestMismatch { version: change.version() });
    }
    Ok(next)
  }

  pub(super) fn with_operations(&self, version: Version, operations: &[Operation]) -> Result<Self> {
    let mut next = self.clone();
    next.version = version;
    for operation in operations {
      next.apply_operation(operation)?;
    }
    Ok(next)
  }

  fn check_conflict(
    &self,
    object: &ObjectName,
    base: Version,
    history: &[ChangeSummary],
  ) -> Result {
    let touching =
      |summary: &&ChangeSummary| summary.version > base && summary.touched.contains(object);
    let by = history.iter().rev().find(touching);
    let changed = self.revision(object).is_some_and(|revision| revision > base);
    if by.is_none() && !changed {
      return Ok(());
    }
    Err(Error::Conflict { by: by.cloned().map(Box::new), object: object.clone() })
  }

  /// The digest of the encoded configuration.
  pub fn digest(&self) -> Digest {
    Digest::of(self.encode().as_bytes())
  }

  /// Encodes the configuration as JSON. Equal configurations give equal text.
  pub fn encode(&self) -> String {
    to_json(self)
  }

  /// The object of that name.
  pub fn object(&self, name: &ObjectName) -> Option<Object> {
    match name {
      ObjectName::Drain(name) => {
        self.drains.get(name).map(|drain| Object::Drain(name.clone(), drain.value.clone()))
      }
      ObjectName::Organisation(name) => self
        .organisations
        .get(name)
        .map(|organisation| Object::Organisation(name.clone(), organisation.value.clone())),
      ObjectName::Policy(name) => {
        self.policies.get(name).map(|policy| Object::Policy(name.clone(), policy.value.clone()))
      }
      ObjectName::Route(name) => {
        self.routes.get(name).map(|route| Object::Route(name.clone(), route.value.clone()))
      }
      ObjectName::Service(name) => {
        self.services.get(name).map(|service| Object::Service(name.clone(), service.value.clone()))
      }
    }
  }

  /// The names of all objects.
  pub fn object_names(&self) -> Vec<ObjectName> {
    let drains = self.drains.keys().cloned().map(ObjectName::Drain);
    let organisations = self.organisations.keys().cloned().map(ObjectName::Organisation);
    let policies = self.policies.keys().cloned().map(ObjectName::Policy);
    let routes = self.routes.keys().cloned().map(ObjectName::Route);
    let services = self.services.keys().cloned().map(ObjectName::Service);
    drains.chain(organisations).chain(policies).chain(routes).chain(services).collect()
  }

  /// The number of objects.
  pub fn object_count(&self) -> usize {
    let organisations = self.organisations.len();
    self.drains.len()
      + organisations
      + self.policies.len()
      + self.routes.len()
      + self.services.len()
  }

  /// The policy of a service.
  pub fn policy_of(&self, service: &ServiceName) -> Option<&Policy> {
    let service = self.services.get(service)?;
    self.policies.get(&service.value.policy).map(|policy| &policy.value)
  }

  /// The version that last changed the object of that name.
  pub fn revision(&self, name: &ObjectName) -> Option<Version> {
    match name {
      ObjectName::Drain(name) => self.drains.get(name).map(|object| object.revision),
      ObjectName::Organisation(name) => self.organisations.get(name).map(|object| object.revision),
      ObjectName::Policy(name) => self.policies.get(name).map(|object| object.revision),
      ObjectName::Route(name) => self.routes.get(name).map(|object| object.revision),
      ObjectName::Service(name) => self.services.get(name).map(|object| object.revision),
    }
  }

  fn apply_operation(&mut self, operation: &Operation) -> Result {
    match operation {
      Operation::Delete(name) => self.remove(name),
      Operation::Put(object) => {
        self.put(object.clone());
        Ok(())
      }
    }
  }

  fn put(&mut self, object: Object) {
    let revision = self.version;
    match object {
      Object::Drain(name, value) => {
        self.drains.insert(name, Revised { revision, value });
      }
      Object::Organisation(name, value) => {
        self.organisations.insert(name, Revised { revision, value });
      }
      Object::Policy(name, value) => {
        self.policies.insert(name, Revised { revision, value });
      }
      Object::Route(name, value) => {
        self.routes.insert(name, Revised { revision, value });
      }
      Object::Service(name, value) => {
        self.services.insert(name, Revised { revision, value });
      }
    }
  }

  fn remove(&mut self, name: &ObjectName) -> Result {
    let removed = match name {
      ObjectName::Drain(name) => self.drains.remove(name).is_some(),
      ObjectName::Organisation(name) => self.organisations.remove(name).is_some(),
      ObjectName::Policy(name) => self.policies.remove(name).is_some(),
      ObjectName::Route(name) => self.routes.remove(name).is_some(),
      ObjectName::Service(name) => self.services.remove(name).is_some(),
    };
    if !removed {
      return Err(Error::UnknownObject { object: name.clone() });
    }
    Ok(())
  }

  /// Checks that every reference resolves and that numbers are within their limits.
  ///
  /// The size is not checked: only a writer must make a version fit the store. A reader's encoding
  /// of an accepted version may be longer, and refusing it would leave the box at the previous
  /// version for good.
  pub fn validate(&self) -> Result {
    self.validate_policies()?;
    self.validate_services()?;
    self.validate_routes()
  }

  /// Checks that the encoded configuration fits the store. Needed before it is written.
  fn check_size(&self) -> Result {
    let bytes = self.encode().len();
    if bytes > ENCODED_BYTES_MAX {
      return Err(Error::TooLarge { bytes });
    }
    Ok(())
  }

  /// Checks the lengths of paths. Needed before a change is accepted; a source may have longer ones.
  fn check_path_lengths(&self) -> Result {
    let is_long = |route: &Revised<Route>| route.value.path_prefix.len() > PATH_BYTES_MAX;
    let too_long = self.routes.iter().find(|(_, route)| is_long(route));
    too_long.map_or(Ok(()), |(name, _)| Err(path_out_of_range(name)))
  }

  fn validate_policies(&self) -> Result {
    for (name, policy) in &self.policies {
      let object = || ObjectName::Policy(name.clone());
      if !(1..=10).contains(&policy.value.attempts) {
        return Err(Error::OutOfRange { allowed: "1 to 10", field: "attempts", object: object() });
      }
      if !(1..=86_400_000).contains(&policy.value.deadline_ms) {
        return Err(Error::OutOfRange {
          allowed: "1 to 86400000",
          field: "deadline_ms",
          object: object(),
        });
      }
      if policy.value.queue_length > 10_000 {
        return Err(Error::OutOfRange {
          allowed: "0 to 10000",
          field: "queue_length",
          object: object(),
        });
      }
    }
    Ok(())
  }

  fn validate_routes(&self) -> Result {
    let mut seen = BTreeMap::new();
    for (name, route) in &self.routes {
      let object = || ObjectName::Route(name.clone());
      if !route.value.path_prefix.starts_with('/') {
        return Err(path_out_of_range(name));
      }
      if let Some(missing) = route.value.services().find(|one| !self.services.contains_key(*one)) {
        return Err(Error::BrokenReference {
          object: object(),
          target: ObjectName::Service(missing.clone()),
        });
      }
      if let Some(first) = seen.insert(route.value.match_conditions(), name) {
        return Err(Error::DuplicateRoute { first: first.clone(), second: name.clone() });
      }
    }
    Ok(())
  }

  fn validate_services(&self) -> Result {
    for (name, service) in &self.services {
      if !self.policies.contains_key(&service.value.policy) {
        return Err(Error::BrokenReference {
          object: ObjectName::Service(name.clone()),
          target: ObjectName::Policy(service.value.policy.clone()),
        });
      }
    }
    Ok(())
  }
}
