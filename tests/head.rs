//! The store's head retains some changes when a snapshot is stored, so that a watcher that is one
//! version behind does not need to read the snapshot.

use ferryyoke::{
  configuration::{AcceptedChange, Change, Configuration, Head, Object, Operation, Policy},
  values::Version,
};

/// A change that puts policy `number`, accepted on `base`.
fn accepted(base: &Configuration, number: usize) -> AcceptedChange {
  let policy =
    Policy { attempts: 1, deadline_ms: 1, owner: "team".parse().expect("a name"), queue_length: 0 };
  let name = format!("policy-{number}").parse().expect("a name");
  let change = Change {
    base: base.version,
    id: format!("change-{number}").parse().expect("a name"),
    only_at: None,
    operations: vec![Operation::Put(Object::Policy(name, policy))],
    operator: "operator".parse().expect("a name"),
    reason: String::new(),
    statement: "a change".into(),
    team: "team".parse().expect("a name"),
    unix_ms: 0,
  };
  base.accept(&change, &[]).expect("the change holds")
}

#[test]
fn the_changes_before_a_snapshot_stay_for_those_who_are_a_few_behind() {
  let mut configuration = Configuration::default();
  let mut head = Head {
    history: Vec::new(),
    snapshot_digest: configuration.digest(),
    snapshot_version: Version(0),
    tail: Vec::new(),
    version: Version(0),
  };
  let mut snapshots = 0;
  for number in 1..=100 {
    let change = accepted(&configuration, number);
    let before = configuration.clone();
    configuration = configuration.apply(&change).expect("its digest fits");
    if head.needs_snapshot(&change) {
      snapshots += 1;
      head = head.with_snapshot(change);
      assert_eq!(head.snapshot_version, head.version);
      assert_eq!(head.changes_since_snapshot().count(), 0);
    } else {
      head = head.with_change(change);
    }
    assert_eq!(head.digest(), configuration.digest());
    let last = head.tail.last().expect("the last change stays");
    assert_eq!(before.apply(last).expect("one behind goes on by the last change"), configuration);
  }
  assert_eq!(snapshots, 3);
  assert!(head.tail.len() <= Head::TAIL_MAX + Head::TAIL_RETAINED);
}
