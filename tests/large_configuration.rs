//! A configuration that the platform's store accepted was never in force.
//!
//! Seen: 2.5 s and more after the store had accepted a version with 1,400 routes more, requests by its new
//! routes were answered 404 and others went where the version before sent them, at every box until the end
//! of the day. Boxes that started then held nothing, and read over a megabyte from the store every second.
//!
//! How it came about: each change had added as many routes, and the third one passed a megabyte in the
//! product's own form, which is longer than the operators'. Cause: a daemon that was told of an accepted
//! version judged it by the limit for whoever writes one, in its own form. Proof: the one line `the
//! configuration would take 1138423 bytes and the store holds 1000000` of each watcher.

mod support;

use {
  ferryyoke::{
    configuration::{Change, Drain, Error, Object, Operation, Source},
    distribution::{Catalog, PackedUpdate, Update},
    platform::OperatorSource,
    store::VALUE_BYTES_MAX,
  },
  serde_json::{Value, json},
  std::ops::Range,
  support::followers::Followers,
};

const BOXES: usize = 9;

const NOBODY: [usize; 0] = [];

fn route(index: usize) -> Value {
  json!({
    "Host": "minutes.example", "Kind": "safe", "MaxAttempts": 2, "Name": format!("r{index}"),
    "PathPrefix": format!("/{index}/"), "Service": "archive", "Timeout": "1s"
  })
}

/// What the operators write, with routes of these numbers.
fn written(routes: Range<usize>, version: u64) -> String {
  let routes: Vec<Value> = routes.map(route).collect();
  let services = json!([{ "HealthPath": "/health", "MaxConnections": 110, "Name": "archive" }]);
  let limits = json!({
    "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms",
    "MaxBodyBytes": 67_108_864, "MaxHeaderBytes": 16_384
  });
  let whole =
    json!({ "Limits": limits, "Routes": routes, "Services": services, "Version": version });
  whole.to_string()
}

#[test]
fn whatever_the_store_holds_is_taken() {
  let text = written(0..8_000, 7);
  assert!((VALUE_BYTES_MAX * 9 / 10..VALUE_BYTES_MAX).contains(&text.len()), "{}", text.len());
  let configuration = OperatorSource.read(&text).expect("a configuration");
  let mut catalog = Catalog::default();
  catalog.apply_whole(configuration, 0).expect("what the store accepted is in force");
  assert_eq!(catalog.configuration().map(|held| held.routes.len()), Some(8_000));
}

#[test]
fn who_writes_a_version_makes_it_fit_the_store() {
  let whole = OperatorSource.read(&written(0..8_000, 7)).expect("a configuration");
  let drain = Object::Drain(
    "box-1".parse().expect("a name"),
    Drain { owner: "team".parse().expect("a name") },
  );
  let change = Change {
    base: whole.version,
    id: "box-1-1-1".parse().expect("an id"),
    only_at: None,
    operations: vec![Operation::Put(drain)],
    operator: "operator".parse().expect("a name"),
    reason: String::new(),
    statement: String::new(),
    team: "team".parse().expect("a name"),
    unix_ms: 0,
  };
  let refused = whole.accept(&change, &[]).expect_err("a refusal");
  assert!(matches!(refused, Error::TooLarge { .. }), "{refused}");
}

/// Objects that an update carries.
fn objects(update: &Update) -> usize {
  match update {
    Update::Patches(patches) => patches.iter().map(|patch| patch.operations.len()).sum(),
    Update::Snapshot { configuration, .. } => configuration.object_count(),
    Update::Delta { .. } => panic!("versions from a source have no changes"),
  }
}

/// A whole version passes a link at a time; a row of large patches would not.
#[test]
fn what_a_neighbour_lacks_is_never_more_than_the_whole() {
  let mut catalog = Catalog::default();
  let version = |number: u64| {
    // Each version replaces the routes of the one before.
    let first = usize::try_from(number).expect("a small number") * 1_000;
    OperatorSource.read(&written(first..first + 1_000, number)).expect("a configuration")
  };
  catalog.apply_whole(version(1), 0).expect("taken");
  let held = catalog.held();
  for number in 2..=9 {
    catalog.apply_whole(version(number), 0).expect("taken");
    let whole = catalog.configuration().expect("held").object_count();
    let objects = objects(&catalog.update_for(held).expect("an update"));
    assert!(objects <= whole, "{objects} objects for a whole of {whole}, {number} versions on");
  }
  let mut behind = Catalog::default();
  behind.apply_whole(version(1), 0).expect("taken");
  let update = catalog.update_for(held).expect("an update");
  behind.apply_update(update, None, 0).expect("the update fits what is held");
  assert_eq!(behind.held(), catalog.held());
}

/// A neighbour on a narrow link gets a thousand routes more in the time of a beat, and the largest
/// configuration that the store holds in a third of a second.
#[test]
fn a_large_configuration_is_small_on_a_link() {
  const BYTES_PER_MS: usize = 10 * 125;
  let mut catalog = Catalog::default();
  let read = |routes| OperatorSource.read(&written(routes, 1)).expect("a configuration");
  catalog.apply_whole(read(0..8_000), 0).expect("taken");
  let whole = catalog.packed_for(None).expect("an update");
  assert!(whole.size_bytes() / BYTES_PER_MS < 333, "{} bytes", whole.size_bytes());
  let mut other = Catalog::default();
  other.apply_update(whole.unpack().expect("what was packed"), None, 0).expect("taken");
  assert_eq!(other.held(), catalog.held());
}

#[test]
fn what_cannot_be_unpacked_is_refused() {
  let mut catalog = Catalog::default();
  let whole = OperatorSource.read(&written(0..100, 1)).expect("a configuration");
  catalog.apply_whole(whole, 0).expect("taken");
  let packed = catalog.packed_for(None).expect("an update");
  let mut bytes = Vec::new();
  ciborium::into_writer(&packed, &mut bytes).expect("written");
  let mut refused = 0;
  for at in (0..bytes.len()).step_by(7) {
    let mut bent = bytes.clone();
    bent[at] ^= 0x55;
    let bent: Option<PackedUpdate> = ciborium::from_reader(&bent[..]).ok();
    let Some(Ok(update)) = bent.as_ref().map(PackedUpdate::unpack) else {
      refused += 1;
      continue;
    };
    let mut other = Catalog::default();
    if other.apply_update(update, None, 0).is_err() {
      refused += 1;
      continue;
    }
    assert_eq!(other.held(), catalog.held(), "byte {at} made another configuration");
  }
  assert!(refused > 0, "no bent byte was noticed");
}

/// A row of patches of which a later one does not hold leaves all as it was.
#[test]
fn a_row_of_patches_is_taken_whole_or_not_at_all() {
  let read = |routes: Range<usize>, number: u64| {
    OperatorSource.read(&written(routes, number)).expect("a configuration")
  };
  let mut ahead = Catalog::default();
  let mut behind = Catalog::default();
  ahead.apply_whole(read(0..50, 1), 0).expect("taken");
  behind.apply_whole(read(0..50, 1), 0).expect("taken");
  let held = behind.held();
  ahead.apply_whole(read(0..51, 2), 0).expect("taken");
  ahead.apply_whole(read(0..52, 3), 0).expect("taken");
  let Some(Update::Patches(mut patches)) = ahead.update_for(held) else {
    panic!("two small patches");
  };
  patches.last_mut().expect("two patches").operations.clear();
  behind.apply_update(Update::Patches(patches), None, 0).expect_err("the last patch does not hold");
  assert_eq!(behind.held(), held, "a version is held that nobody was told to put in force");
}

/// Where one version cannot be read, the one before it still reaches boxes that start.
#[test]
fn a_box_that_starts_gets_the_version_in_force_where_the_newest_one_is_refused() {
  let mut fleet = Followers::new();
  fleet.link_mbps = 1;
  fleet.write_services(1, 3_000);
  for index in 0..BOXES {
    fleet.start(index, 1_000);
  }
  fleet.run(4_000);
  assert_eq!(fleet.lacking(BOXES, |fleet, index| fleet.version(index) == Some(1)), NOBODY);
  fleet.write_text("not a configuration".into());
  fleet.run(2_000);
  fleet.stop(4);
  fleet.run(500);
  fleet.start(4, 9_000);
  fleet.run(3_000);
  assert_eq!(fleet.version(4), Some(1), "{:#?}", fleet.logged);
  let reads = fleet.refused.len();
  fleet.run(5_000);
  assert!(fleet.refused.len() - reads <= 1, "the refused version is read again and again");
}
