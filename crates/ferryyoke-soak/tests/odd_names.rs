//! Names with any signs and lengths, and items that cannot be read, on real processes.
//!
//! Guards against a version of the configuration that is refused whole, on every box and for good, for the name of one
//! of its items or for one item that cannot be read, and against backend servers whose reports are refused for the
//! version of their software. What the platform takes must be served, also by a daemon that starts with it; an item
//! that cannot be read costs itself alone, and `why`, the log and the metrics tell of it.

mod support;

use {
  ferryyoke_soak::{
    SoakBox,
    platform::{self, KEY, REQUEST_ID},
  },
  http::{Method, StatusCode},
  serde_json::{Value, json},
  std::time::Instant,
  support::{Answer, Fleet, pause_ms, run, soon},
};

const BOXES: usize = 4;

/// Upper limit in milliseconds for steps whose speed isn't under test.
const MAX_WAIT_MS: u64 = 20_000;

/// Milliseconds within which a change is in force everywhere.
const IN_FORCE_MS: u64 = 2_500;

/// The odd names of the services.
const SERVICES: [&str; 2] =
  ["procès \"verbaux\"/\\{minutes}; 100% %41 x-forged: 1", "реестр 名簿 \u{202e}odd"];

/// Returns a configuration with odd names of services and routes, two routes of one name, and an organisation.
fn odd_configuration(version: u64) -> Value {
  let text = platform::configuration(&SERVICES, 2);
  let mut whole: Value = serde_json::from_str(&text).expect("JSON");
  whole["Version"] = json!(version);
  let names = ["a\nforged: line", "", "procès-verbaux", "twice", "twice"];
  for (route, name) in whole["Routes"].as_array_mut().expect("routes").iter_mut().zip(names) {
    route["Name"] = json!(name);
    route["Public"] = json!(true);
  }
  whole["Routes"][0]["Name"] = json!("long ".repeat(200));
  whole["Routes"][0]["Public"] = json!(false);
  whole["Tenants"] = json!([
    { "ApiKeys": ["secret"], "Name": "cooperative \"É\"", "RatePerS": 500, "Burst": 500 },
    { "ApiKeys": ["second"], "Name": "cooperative \"É\"", "RatePerS": 500, "Burst": 500 },
  ]);
  whole
}

/// The paths of [`odd_configuration`], each with whether it is for the second service.
fn paths() -> [(String, bool); 5] {
  let added = [platform::added_path(1), platform::added_path(2)];
  let [first, second] = added;
  [
    ("/read/".into(), false),
    ("/send/".into(), true),
    ("/upload/".into(), false),
    (first, false),
    (second, false),
  ]
}

/// Gives a box and its backend server odd names.
fn rename(fleet: &Fleet, index: usize) {
  let one = &fleet.boxes[index];
  let service = SERVICES[index % SERVICES.len()];
  let hall = format!("Salle n° {} / \"{}\"", index % 2, "é".repeat(20));
  one
    .change_settings(|settings| {
      settings["box"] = json!(format!("boîte {index}/{}", "x".repeat(100 * (index % 2))));
      settings["data_hall"] = json!(hall);
      settings["region"] = json!("Région \\ {1}");
      settings["service"] = json!(service);
    })
    .expect("settings");
  let versions = ["2.4.0+20261206", "Ünstable build #7, \"x\"", "v1"];
  one.backend_server.rename(&format!("i/{index} é+%41"), service, versions[index % versions.len()]);
}

async fn ask_with_key(fleet: &Fleet, index: usize, path: &str, id: &str) -> Result<Answer, String> {
  fleet.send(index, Method::GET, path, &[(KEY, "Bearer second"), (REQUEST_ID, id)]).await
}

/// Waits until a box serves all paths, and checks who ran them.
async fn check_served(fleet: &Fleet, index: usize, round: &str, until: Instant) {
  for (number, (path, is_second)) in paths().iter().enumerate() {
    let id = loop {
      let id = format!("{round}/{index} {number}.{}", fleet.record.borrow().runs.len());
      let answer = ask_with_key(fleet, index, path, &id).await;
      if answer.as_ref().is_ok_and(Answer::is_served) {
        break id;
      }
      assert!(
        Instant::now() < until,
        "box {index}, {path}: {answer:?}\n{}",
        fleet.boxes[index].log()
      );
      pause_ms(50).await;
    };
    let record = fleet.record.borrow();
    let run = record.runs.iter().find(|run| run.request_id == id).expect("its run under its id");
    assert_eq!(run.service, SERVICES[usize::from(*is_second)], "{path}");
    assert_eq!(run.caller, SERVICES[index % SERVICES.len()], "{path}");
    assert_eq!(run.organisation.as_deref(), Some("cooperative \"É\""), "{path}");
  }
}

/// Asks a daemon's operators' interface, and returns the answer as text.
async fn ask_operators(fleet: &Fleet, index: usize, statement: &str) -> String {
  let address = fleet.boxes[index].administration;
  let body = json!({ "text": statement }).to_string();
  fleet.text_of(address, Method::POST, "/v1/statements", body).await.expect("an answer")
}

/// Checks that each line of a daemon's log is a JSON object, and each of its metrics a name with a value.
async fn check_outputs(fleet: &Fleet, index: usize) {
  let address = fleet.boxes[index].administration;
  let metrics = fleet.text_of(address, Method::GET, "/metrics", String::new()).await;
  for line in metrics.expect("metrics").lines().filter(|line| !line.starts_with('#')) {
    let is_sound = line.starts_with("ferryyoke_")
      && line.rsplit_once(' ').is_some_and(|(_, value)| value.parse::<f64>().is_ok());
    assert!(is_sound, "{line:?}");
  }
  pause_ms(500).await;
  let log = fleet.boxes[index].log();
  for line in log.lines() {
    assert!(serde_json::from_str::<Value>(line).is_ok_and(|line| line.is_object()), "{line:?}");
  }
}

/// Guards against names that the platform takes and daemons don't.
#[test]
fn odd_names_are_served_everywhere_and_a_leaving_is_confirmed() {
  run(async {
    let fleet = Fleet::prepare(BOXES);
    (0..BOXES).for_each(|index| rename(&fleet, index));
    fleet.store.accept(odd_configuration(1).to_string()).expect("the store accepts it");
    (0..BOXES - 1).for_each(|index| fleet.start(index));
    for index in 0..BOXES - 1 {
      check_served(&fleet, index, "first", soon(MAX_WAIT_MS)).await;
    }
    fleet.start(BOXES - 1);
    check_served(&fleet, BOXES - 1, "started", soon(MAX_WAIT_MS)).await;

    let mut next = odd_configuration(5);
    next["Routes"][2]["Service"] = json!(SERVICES[1]);
    fleet.store.accept(next.to_string()).expect("the store accepts it");
    let until = soon(IN_FORCE_MS);
    for index in 0..BOXES {
      let answered = |answer: &Answer| answer.header("x-ferryyoke-version") == "5";
      fleet.ask_until(index, "/upload/", until, answered).await;
    }

    let statement = r#"why box "boîte 0/" holds route "procès-verbaux""#;
    let told = ask_operators(&fleet, 0, statement).await;
    assert!(told.contains("holds version"), "{told}");
    for index in 0..BOXES {
      check_outputs(&fleet, index).await;
    }

    let leaving = fleet.boxes[0].backend_server.process();
    fleet.boxes[0].backend_server.replace(false);
    let until = soon(MAX_WAIT_MS);
    while !fleet.record.borrow().left.contains_key(&leaving) {
      assert!(Instant::now() < until, "not confirmed\n{}", fleet.boxes[0].log());
      pause_ms(50).await;
    }
  });
}

/// Guards against a whole version that is refused for one item.
#[test]
fn an_item_that_cannot_be_read_costs_itself_alone() {
  run(async {
    let fleet = Fleet::prepare(BOXES);
    let late = BOXES - 1;
    fleet.write(1, 0, "safe");
    (0..late).for_each(|index| fleet.start(index));
    for index in 0..late {
      fleet.ask_until(index, "/read/", soon(MAX_WAIT_MS), Answer::is_served).await;
    }
    let text = platform::configuration(&SoakBox::SERVICES, 3);
    let mut whole: Value = serde_json::from_str(&text).expect("JSON");
    let routes = whole["Routes"].as_array_mut().expect("routes");
    let first = routes.len() - 3;
    routes[first]["Kind"] = json!("of no known\nkind");
    routes[first]["PathPrefix"] = json!("/read/odd/");
    routes[first + 1]["Priority"] = json!(1e30);
    fleet.store.accept(whole.to_string()).expect("the store accepts it");
    let is_left_out = |answer: &Answer| {
      answer.status == StatusCode::SERVICE_UNAVAILABLE
        && answer.header("retry-after").parse::<f64>().is_ok_and(|seconds| seconds > 0.0)
        && answer.body.contains("left out")
    };
    let until = soon(IN_FORCE_MS);
    let last = platform::added_path(3);
    for index in 0..late {
      fleet.ask_until(index, &last, until, Answer::is_served).await;
    }
    fleet.start(late);
    fleet.ask_until(late, &last, soon(MAX_WAIT_MS), Answer::is_served).await;
    for index in 0..BOXES {
      fleet.ask_once(index, "/read/", Answer::is_served).await;
      fleet.ask_once(index, "/read/odd/", is_left_out).await;
      fleet.ask_once(index, &platform::added_path(2), is_left_out).await;
      let told =
        ask_operators(&fleet, index, &format!("why box box-{index} holds route r-2")).await;
      assert!(told.contains("r-2 is left out, as it cannot be read"), "{told}");
      let told =
        ask_operators(&fleet, index, &format!("why box box-{index} holds route r-3")).await;
      assert!(told.contains("route r-1 is left out") && told.contains("holds version"), "{told}");
      let address = fleet.boxes[index].administration;
      let metrics = fleet.text_of(address, Method::GET, "/metrics", String::new()).await;
      let is_counted = |text: String| text.contains("ferryyoke_configuration_items_omitted 2");
      assert!(metrics.is_ok_and(is_counted), "box {index}");
      check_outputs(&fleet, index).await;
      let log = fleet.boxes[index].log();
      let lines = log.lines().filter(|line| line.contains("cannot be read and is left out"));
      assert_eq!(lines.count(), 2, "box {index}\n{log}");
    }
    fleet.write(20, 3, "safe");
    let until = soon(IN_FORCE_MS);
    for index in 0..BOXES {
      for number in 1..=3 {
        fleet.ask_until(index, &platform::added_path(number), until, Answer::is_served).await;
      }
    }
  });
}
