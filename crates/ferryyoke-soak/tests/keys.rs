//! Organisations on real processes: authentication by key, the headers that backend servers receive, and a rate limit
//! across all daemons.

mod support;

use {
  ferryyoke_soak::{
    SoakBox,
    platform::{self, KEY, ORGANISATION, REQUEST_ID},
  },
  http::{Method, StatusCode},
  serde_json::{Value, json},
  std::time::Instant,
  support::{Answer, Fleet, run, soon},
};

const BOXES: usize = 4;

/// Milliseconds within which a version must be in force.
const APPLY_MS: u64 = 2_000;

/// A path whose callers need a key.
const READ: &str = "/read/";
/// A public path.
const PUBLIC: &str = "/send/";

fn write(fleet: &Fleet, version: u64, organisations: &Value) {
  let text = platform::configuration(&SoakBox::SERVICES, 0);
  let mut whole: Value = serde_json::from_str(&text).expect("JSON");
  whole["Version"] = json!(version);
  whole["Tenants"] = organisations.clone();
  for route in whole["Routes"].as_array_mut().expect("routes") {
    route["Public"] = json!(route["PathPrefix"] == PUBLIC);
  }
  fleet.store.accept(whole.to_string()).expect("the store accepts it");
}

async fn send(fleet: &Fleet, index: usize, path: &str, headers: &[(&str, &str)]) -> Answer {
  fleet.send(index, Method::GET, path, headers).await.expect("an answer")
}

/// Waits until a box answers requests with the key `key` with `status`.
async fn until(fleet: &Fleet, index: usize, key: &str, status: StatusCode) {
  let end = soon(APPLY_MS);
  while send(fleet, index, READ, &[(KEY, key)]).await.status != status {
    assert!(Instant::now() < end, "box {index} does not answer {key} with {status} in time");
  }
}

#[test]
fn a_key_authenticates_its_organisation_and_reaches_no_backend_server() {
  run(async {
    let fleet = Fleet::prepare(BOXES);
    fleet.serve().await;
    let keys = json!([{ "ApiKeys": ["secret-1", "secret-2"], "Name": "council" }]);
    write(&fleet, 2, &keys);
    for index in 0..BOXES {
      until(&fleet, index, "Bearer nobodys", StatusCode::UNAUTHORIZED).await;
      let none = send(&fleet, index, READ, &[]).await;
      assert_eq!(none.status, StatusCode::UNAUTHORIZED);
      let id = format!("keyed-{index}");
      let headers = [(KEY, "Bearer secret-1"), (ORGANISATION, "parish"), (REQUEST_ID, &id)];
      assert!(send(&fleet, index, READ, &headers).await.is_served());
      let id = format!("public-{index}");
      let headers = [(ORGANISATION, "parish"), (REQUEST_ID, id.as_str())];
      assert!(send(&fleet, index, PUBLIC, &headers).await.is_served());
    }
    let record = fleet.record.borrow();
    // Only keyed requests count: before the version with the keys was in force, headers were forwarded unchanged.
    let mut keyed = record.runs.iter().filter(|run| run.request_id.starts_with("keyed-"));
    assert!(keyed.all(|run| !run.has_key), "a key reached a backend server");
    let organisations = |start: &str| {
      let runs = record.runs.iter().filter(|run| run.request_id.starts_with(start));
      runs.map(|run| run.organisation.clone()).collect::<Vec<Option<String>>>()
    };
    assert_eq!(organisations("keyed-"), vec![Some("council".to_string()); BOXES]);
    assert_eq!(organisations("public-"), vec![None; BOXES]);
    assert!(fleet.boxes.iter().all(|one| !one.log().contains("secret")), "a log contains a key");
  });
}

#[test]
fn a_removed_key_is_refused_by_every_box() {
  run(async {
    let fleet = Fleet::prepare(BOXES);
    fleet.serve().await;
    write(&fleet, 2, &json!([{ "ApiKeys": ["secret-1", "secret-2"], "Name": "council" }]));
    for index in 0..BOXES {
      until(&fleet, index, "Bearer secret-1", StatusCode::OK).await;
    }
    write(&fleet, 3, &json!([{ "ApiKeys": ["secret-2"], "Name": "council" }]));
    for index in 0..BOXES {
      until(&fleet, index, "Bearer secret-1", StatusCode::UNAUTHORIZED).await;
      assert!(send(&fleet, index, READ, &[(KEY, "Bearer secret-2")]).await.is_served());
    }
    fleet.restart(2);
    fleet.ask_until(2, PUBLIC, soon(20_000), Answer::is_served).await;
    let again = send(&fleet, 2, READ, &[(KEY, "Bearer secret-1")]).await;
    assert_eq!(again.status, StatusCode::UNAUTHORIZED);
  });
}

#[test]
fn a_rate_limit_applies_across_all_boxes() {
  /// The rate limit in requests per second, and its burst.
  const PER_S: usize = 10;
  const ASKED: usize = 120;
  run(async {
    let fleet = Fleet::prepare(BOXES);
    fleet.serve().await;
    let limit = json!([
      { "ApiKeys": ["secret-1"], "Burst": PER_S, "Name": "council", "RatePerS": PER_S }
    ]);
    write(&fleet, 2, &limit);
    for index in 0..BOXES {
      until(&fleet, index, "Bearer nobodys", StatusCode::UNAUTHORIZED).await;
    }
    let began = Instant::now();
    let (mut served, mut refused) = (0, 0);
    for number in 0..ASKED {
      let answer = send(&fleet, number % BOXES, READ, &[(KEY, "Bearer secret-1")]).await;
      match answer.status {
        StatusCode::OK => served += 1,
        StatusCode::TOO_MANY_REQUESTS => {
          assert!(!answer.header("retry-after").is_empty(), "the answer lacks `retry-after`");
          refused += 1;
        }
        other => panic!("{other}: {}", answer.body),
      }
    }
    let seconds = usize::try_from(began.elapsed().as_secs()).expect("a short test") + 1;
    assert!(served <= PER_S * (seconds + 1), "{served} served in {seconds} s");
    assert!(served + refused == ASKED && served > 0, "{served} served, {refused} refused");
  });
}
