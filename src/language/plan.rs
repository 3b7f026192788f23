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
  /// The service of each known box.
  boxes: &'a BTreeMap<BoxId, ServiceName>,
  /// The operations so far.
  steps: Vec<Operation>,
  /// The configuration after the operations so far, not validated as a whole.
  working: BTreeMap<ObjectName, Object>,
}

impl<'a> Plan<'a> {
  /// Returns the operations of a script's changes. `old` holds the versions for `rollback`.
  pub fn steps(
    script: &Script,
    configuration: &Configuration,
    author: &'a Author,
    boxes: &'a BTreeMap<BoxId, ServiceName>,
    old: &BTreeMap<Version, Arc<Configuration>>,
  ) -> Result<Vec<Operation>> {
    let names = configuration.object_names().into_iter();
    let working = names.filter_map(|name| Some((name.clone(), configuration.object(&name)?)));
    let mut plan = Self { author, boxes, steps: Vec::new(), working: working.collect() };
    for statement in &script.statements {
      plan.add(statement, configuration, old)?;
    }
    Ok(plan.steps)
  }

  fn add(
    &mut self,
    statement: &Statement,
    configuration: &Configuration,
    old: &BTreeMap<Version, Arc<Configuration>>,
  ) -> Result {
    match statement {
      Statement::Apply(document) => self.replace(document, configuration),
      Statement::AllowRequest(_)
      | Statement::Ask(_)
      | Statement::RestoreStore
      | Statement::SetLogLevel(_) => Ok(()),
      Statement::Create(draft) => {
        if self.working.contains_key(&draft.object) {
          return Err(Error::AlreadyThere { object: draft.object.clone() });
        }
        self.put(draft.create(&self.author.team)?)
      }
      Statement::Delete(name) => self.delete(name),
      Statement::Drain(box_id) => self.drain(box_id),
      Statement::Rollback(version) => {
        let unknown = || Error::UnknownName { name: format!("version {version}"), nearest: None };
        let target = old.get(version).ok_or_else(unknown)?;
        self.replace(&Document::of(target), configuration)
      }
      Statement::Set(draft) => {
        let object = self.known(&draft.object)?.clone();
        self.put(draft.fill(object))
      }
      Statement::Undrain(box_id) => self.delete(&ObjectName::Drain(box_id.clone())),
    }
  }

  fn replace(&mut self, document: &Document, configuration: &Configuration) -> Result {
    for step in document.steps_from(configuration) {
      match step {
        Operation::Delete(name) => self.delete(&name)?,
        Operation::Put(object) => self.put(object)?,
      }
    }
    Ok(())
  }

  fn drain(&mut self, box_id: &BoxId) -> Result {
    let Some(service) = self.boxes.get(box_id) else {
      let known = self.boxes.keys().map(BoxId::as_str);
      return Err(Error::UnknownName {
        name: format!("box {box_id}"),
        nearest: nearest::nearest(box_id.as_str(), known),
      });
    };
    let service = ObjectName::Service(service.clone());
    if let Some(owner) = self.working.get(&service).map(Object::owner) {
      self.check_owner(&service, owner)?;
    }
    let drain = Drain { owner: self.author.team.clone() };
    self.put(Object::Drain(box_id.clone(), drain))
  }

  fn known(&self, name: &ObjectName) -> Result<&Object> {
    self.working.get(name).ok_or_else(|| {
      let wanted = name.to_string();
      let kind = Kind::of_object(name);
      let same_kind = self.working.keys().filter(|known| Kind::of_object(known) == kind);
      let known: Vec<String> = same_kind.map(ToString::to_string).collect();
      let nearest = nearest::nearest(&wanted, known.iter().map(String::as_str));
      Error::UnknownName { name: wanted, nearest }
    })
  }

  fn put(&mut self, object: Object) -> Result {
    let name = object.name();
    if let Some(old) = self.working.get(&name) {
      self.check_owner(&name, old.owner())?;
    }
    self.check_owner(&name, object.owner())?;
    self.working.insert(name, object.clone());
    self.steps.push(Operation::Put(object));
    Ok(())
  }

  fn delete(&mut self, name: &ObjectName) -> Result {
    let owner = self.known(name)?.owner().clone();
    self.check_owner(name, &owner)?;
    self.working.remove(name);
    self.steps.push(Operation::Delete(name.clone()));
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
