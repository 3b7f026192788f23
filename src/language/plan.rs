use super::*;

/// The operator who submits a script.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Author {
  /// Whether the author may change objects of every team.
  pub is_administrator: bool,
  /// The operator's name.
  pub operator: Operator,
  /// The operator's team.
  pub team: Team,
}

/// Turns the changes of a script into operations on one version of the configuration, and checks
/// that the author's team owns the objects.
#[derive(Clone, Debug)]
pub struct Plan<'a> {
  author: &'a Author,
  /// The objects after the operations so far, not validated as a whole.
  objects: BTreeMap<ObjectName, Object>,
  /// The operations so far.
  operations: Vec<Operation>,
  /// The service of each known box.
  services_by_box: &'a BTreeMap<BoxId, ServiceName>,
}

impl<'a> Plan<'a> {
  /// Returns the operations of a script's changes. `old_versions` holds the targets of `rollback`.
  pub fn operations(
    script: &Script,
    configuration: &Configuration,
    author: &'a Author,
    services_by_box: &'a BTreeMap<BoxId, ServiceName>,
    old_versions: &BTreeMap<Version, Arc<Configuration>>,
  ) -> Result<Vec<Operation>> {
    let names = configuration.object_names().into_iter();
    let objects = names.filter_map(|name| Some((name.clone(), configuration.object(&name)?)));
    let mut plan =
      Self { author, services_by_box, operations: Vec::new(), objects: objects.collect() };
    for statement in &script.statements {
      plan.add(statement, configuration, old_versions)?;
    }
    Ok(plan.operations)
  }

  fn add(
    &mut self,
    statement: &Statement,
    configuration: &Configuration,
    old_versions: &BTreeMap<Version, Arc<Configuration>>,
  ) -> Result {
    match statement {
      Statement::Apply(document) => self.apply_document(document, configuration),
      Statement::AllowRequest(_)
      | Statement::Ask(_)
      | Statement::RestoreStore
      | Statement::SetLogLevel(_) => Ok(()),
      Statement::Create(spec) => {
        if self.objects.contains_key(&spec.object) {
          return Err(Error::AlreadyExists { object: spec.object.clone() });
        }
        self.put(spec.create(&self.author.team)?)
      }
      Statement::Delete(name) => self.delete(name),
      Statement::Drain(box_id) => self.drain(box_id),
      Statement::Rollback(version) => {
        let unknown = || Error::UnknownName { name: format!("version {version}"), nearest: None };
        let target = old_versions.get(version).ok_or_else(unknown)?;
        self.apply_document(&Document::of(target), configuration)
      }
      Statement::Set(spec) => {
        let object = self.find(&spec.object)?.clone();
        self.put(spec.apply_to(object))
      }
      Statement::Undrain(box_id) => self.delete(&ObjectName::Drain(box_id.clone())),
    }
  }

  fn apply_document(&mut self, document: &Document, configuration: &Configuration) -> Result {
    for operation in document.operations_from(configuration) {
      match operation {
        Operation::Delete(name) => self.delete(&name)?,
        Operation::Put(object) => self.put(object)?,
      }
    }
    Ok(())
  }

  fn drain(&mut self, box_id: &BoxId) -> Result {
    let Some(service) = self.services_by_box.get(box_id) else {
      let known = self.services_by_box.keys().map(BoxId::as_str);
      return Err(Error::UnknownName {
        name: format!("box {box_id}"),
        nearest: nearest::nearest(box_id.as_str(), known),
      });
    };
    let service = ObjectName::Service(service.clone());
    if let Some(owner) = self.objects.get(&service).map(Object::owner) {
      self.check_owner(&service, owner)?;
    }
    let drain = Drain { owner: self.author.team.clone() };
    self.put(Object::Drain(box_id.clone(), drain))
  }

  fn find(&self, name: &ObjectName) -> Result<&Object> {
    self.objects.get(name).ok_or_else(|| {
      let wanted = name.to_string();
      let kind = Kind::of_object(name);
      let same_kind = self.objects.keys().filter(|known| Kind::of_object(known) == kind);
      let known: Vec<String> = same_kind.map(ToString::to_string).collect();
      let nearest = nearest::nearest(&wanted, known.iter().map(String::as_str));
      Error::UnknownName { name: wanted, nearest }
    })
  }

  fn put(&mut self, object: Object) -> Result {
    let name = object.name();
    if let Some(old) = self.objects.get(&name) {
      self.check_owner(&name, old.owner())?;
    }
    self.check_owner(&name, object.owner())?;
    self.objects.insert(name, object.clone());
    self.operations.push(Operation::Put(object));
    Ok(())
  }

  fn delete(&mut self, name: &ObjectName) -> Result {
    let owner = self.find(name)?.owner().clone();
    self.check_owner(name, &owner)?;
    self.objects.remove(name);
    self.operations.push(Operation::Delete(name.clone()));
    Ok(())
  }

  fn check_owner(&self, object: &ObjectName, owner: &Team) -> Result {
    if self.author.is_administrator || *owner == self.author.team {
      return Ok(());
    }
    Err(Error::NotOwned {
      object: object.clone(),
      owner: owner.clone(),
      team: self.author.team.clone(),
    })
  }
}
