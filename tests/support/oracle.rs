//! The invariants of a fleet, checked after every step against a simple model.

use {
  ferryyoke::{
    configuration::{Change, Configuration, Head, Object, ObjectName, Operation},
    values::{ChangeId, Version},
  },
  std::collections::BTreeMap,
};

/// The model: every accepted version as a plain map of objects.
#[derive(Default)]
pub struct Oracle {
  /// Every change that an operator submitted, by id.
  submitted: BTreeMap<ChangeId, Change>,
  /// Every accepted version with its change and content.
  versions: BTreeMap<Version, (Option<ChangeId>, BTreeMap<ObjectName, Object>)>,
  /// The highest version that each box ever held, across restarts.
  held: BTreeMap<usize, Version>,
  /// Acknowledged changes with their version.
  acknowledged: BTreeMap<ChangeId, Version>,
  /// Changes that were refused.
  refused: Vec<ChangeId>,
}

impl Oracle {
  pub fn new() -> Self {
    let mut oracle = Self::default();
    oracle.versions.insert(Version(0), (None, BTreeMap::new()));
    oracle
  }

  /// The newest accepted version.
  pub fn newest(&self) -> Version {
    *self.versions.keys().next_back().expect("there is version 0")
  }

  /// Records that an operator submits a change.
  pub fn submitted(&mut self, change: &Change) {
    self.submitted.insert(change.id.clone(), change.clone());
  }

  /// Checks and records that the store's head was written.
  pub fn head_written(&mut self, head: &Head) {
    let summary = head.history.last().expect("a head has a last change");
    assert_eq!(summary.version, head.version, "the last change created the head's version");
    assert_eq!(head.version, self.newest().next(), "versions have no gaps");
    let change = self.submitted.get(&summary.id).expect("only submitted changes are accepted");
    let twice = self.versions.values().any(|(id, _)| id.as_ref() == Some(&summary.id));
    assert!(!twice, "change {} was accepted twice", summary.id);
    let mut objects = self.versions[&self.newest()].1.clone();
    for operation in &change.operations {
      match operation {
        Operation::Delete(name) => {
          assert!(objects.remove(name).is_some(), "{name} was deleted but did not exist");
        }
        Operation::Put(object) => {
          objects.insert(object.name(), object.clone());
        }
      }
    }
    check_references(&objects);
    self.versions.insert(head.version, (Some(summary.id.clone()), objects));
  }

  /// Checks that a box applies an accepted configuration that is not older than any it held.
  pub fn applied(&mut self, index: usize, configuration: &Configuration) {
    let held = self.held.entry(index).or_default();
    assert!(
      configuration.version >= *held,
      "box {index} went back from version {held} to {}",
      configuration.version
    );
    *held = configuration.version;
    let known = self.versions.get(&configuration.version);
    let (_, objects) = known.expect("only accepted versions are applied");
    let names = configuration.object_names();
    assert_eq!(names.len(), objects.len(), "version {} is incomplete", configuration.version);
    for name in names {
      assert_eq!(configuration.object(&name).as_ref(), objects.get(&name), "{name} differs");
    }
  }

  /// Records that an operator was told that a change is accepted.
  pub fn acknowledged(&mut self, id: &ChangeId, version: Version) {
    self.acknowledged.insert(id.clone(), version);
  }

  /// Records that an operator was told that a change is refused.
  pub fn refused(&mut self, id: &ChangeId) {
    self.refused.push(id.clone());
  }

  /// Checks at the end of a run that the answers to the operators were true.
  pub fn check_history(&self) {
    for (id, version) in &self.acknowledged {
      let known = self.versions.get(version).and_then(|(known, _)| known.as_ref());
      assert_eq!(known, Some(id), "change {id} was acknowledged as version {version}");
    }
    for id in &self.refused {
      let took_effect = self.versions.values().any(|(known, _)| known.as_ref() == Some(id));
      assert!(!took_effect, "change {id} was refused and took effect");
    }
  }

  pub fn acknowledged_count(&self) -> usize {
    self.acknowledged.len()
  }
}

/// Checks that every route's service and every service's policy exists.
fn check_references(objects: &BTreeMap<ObjectName, Object>) {
  for object in objects.values() {
    let target = match object {
      Object::Route(_, route) => ObjectName::Service(route.service.clone()),
      Object::Service(_, service) => ObjectName::Policy(service.policy.clone()),
      Object::Drain(..) | Object::Organisation(..) | Object::Policy(..) => continue,
    };
    assert!(objects.contains_key(&target), "{} names {target}", object.name());
  }
}
