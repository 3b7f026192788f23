//! Every configuration that the platform's store accepts comes into force, however large it is.
//!
//! Guards against this failure: after changes of 1,400 routes each, the third version took over a
//! megabyte in the daemons' own encoding, which is longer than the operators'. Every daemon checked
//! the accepted version, in its own encoding, against the size limit for writers and refused it:
//! `the configuration would take 1138423 bytes and the store holds 1000000`. All boxes stayed at
//! the previous version, so that requests by the new routes got 404. Boxes that started then held
//! no configuration and read over a megabyte from the store every second.

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

const NO_BOXES: [usize; 0] = [];

fn route(index: usize) -> Value {
  json!({
    "Host": "minutes.example", "Kind": "safe", "MaxAttempts": 2, "Name": format!("r{index}"),
    "PathPrefix": format!("/{index}/"), "Service": "archive", "Timeout": "1s"
  })
}

/// The text of a configuration, as operators write it, with routes of these numbers.
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
fn the_largest_configuration_in_the_store_is_applied() {
  let text = written(0..8_000, 7);
  assert!((VALUE_BYTES_MAX * 9 / 10..VALUE_BYTES_MAX).contains(&text.len()), "{}", text.len());
  let configuration = OperatorSource.read(&text).expect("a configuration");
  let mut catalog = Catalog::default();
  catalog.apply_whole(configuration, 0).expect("a version that the store accepted is applied");
  assert_eq!(catalog.configuration().map(|held| held.routes.len()), Some(8_000));
}

#[test]
fn a_change_that_exceeds_the_store_limit_is_refused() {
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

/// The number of objects in an update.
fn objects(update: &Update) -> usize {
  match update {
    Update::Patches(patches) => patches.iter().map(|patch| patch.operations.len()).sum(),
    Update::Snapshot { configuration, .. } => configuration.object_count(),
    Update::Delta { .. } => panic!("versions from a source have no changes"),
  }
}

/// A series of large patches may be larger than the whole configuration, and is not sent then.
#[test]
fn an_update_is_never_larger_than_the_whole_configuration() {
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
  behind.apply_update(update, None, 0).expect("the update applies to the held version");
  assert_eq!(behind.held(), catalog.held());
}

/// On a link of 10 Mbit/s, the largest configuration that the store holds takes less than a third
/// of a second, and a thousand additional routes less than a heartbeat interval.
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
fn a_corrupt_update_is_refused() {
  let mut catalog = Catalog::default();
  let whole = OperatorSource.read(&written(0..100, 1)).expect("a configuration");
  catalog.apply_whole(whole, 0).expect("taken");
  let packed = catalog.packed_for(None).expect("an update");
  let mut bytes = Vec::new();
  ciborium::into_writer(&packed, &mut bytes).expect("written");
  let mut refused = 0;
  for at in (0..bytes.len()).step_by(7) {
    let mut corrupt = bytes.clone();
    corrupt[at] ^= 0x55;
    let decoded: Option<PackedUpdate> = ciborium::from_reader(&corrupt[..]).ok();
    let Some(Ok(update)) = decoded.as_ref().map(PackedUpdate::unpack) else {
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
  assert!(refused > 0, "no corrupt byte was detected");
}

/// If a later patch of a series is invalid, none of them is applied.
#[test]
fn a_series_of_patches_is_applied_completely_or_not_at_all() {
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
  behind.apply_update(Update::Patches(patches), None, 0).expect_err("the last patch is invalid");
  assert_eq!(behind.held(), held, "a version is held that no caller was told to apply");
}

/// If the newest version cannot be parsed, boxes that start get the previous one.
#[test]
fn a_box_that_starts_gets_the_version_in_force_where_the_newest_one_is_refused() {
  let mut fleet = Followers::new();
  fleet.link_mbps = 1;
  fleet.write_services(1, 3_000);
  for index in 0..BOXES {
    fleet.start(index, 1_000);
  }
  fleet.run(4_000);
  assert_eq!(fleet.boxes_failing(BOXES, |fleet, index| fleet.version(index) == Some(1)), NO_BOXES);
  fleet.write_text("not a configuration".into());
  fleet.run(2_000);
  fleet.stop(4);
  fleet.run(500);
  fleet.start(4, 9_000);
  fleet.run(3_000);
  assert_eq!(fleet.version(4), Some(1), "{:#?}", fleet.logged);
  let reads = fleet.refused.len();
  fleet.run(5_000);
  assert!(fleet.refused.len() - reads <= 1, "the refused version is read repeatedly");
}
