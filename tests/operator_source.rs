//! Tests how the adapter reads the configurations that the platform's operators write.

use {
  ferryyoke::{
    configuration::{Configuration, Omission, Source},
    platform::OperatorSource,
    store::Key,
    values::{KeyDigest, RouteName, Version},
  },
  serde_json::{Value, json},
  std::collections::BTreeSet,
};

/// A configuration with one route of the given kind.
fn configuration_json(kind: &str) -> Value {
  json!({
    "Limits": {
      "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms",
      "MaxBodyBytes": 67_108_864, "MaxHeaderBytes": 16_384
    },
    "Routes": [{
      "Host": "minutes.example", "Kind": kind, "MaxAttempts": 2, "Name": "minutes",
      "PathPrefix": "/minutes/", "Priority": 2, "TargetLatency": "250ms", "Timeout": "0.8s",
      "WeightedClusters": [
        { "Service": "archive", "Weight": 90 }, { "Service": "registry", "Weight": 10 }
      ]
    }],
    "Services": [
      service("archive"), service("registry")
    ],
    "Version": 7
  })
}

fn service(name: &str) -> Value {
  json!({
    "HealthPath": "/health", "MaxConnections": 110, "Name": name, "Protocol": "h1", "Tls": false
  })
}

fn read(value: &Value) -> Configuration {
  OperatorSource.read(&value.to_string()).expect("a configuration")
}

fn is_repeatable(kind: &str) -> bool {
  let name: RouteName = "minutes".parse().expect("a name");
  let configuration = read(&configuration_json(kind));
  configuration.routes[&name].value.repeatable
}

#[test]
fn every_kind_of_request_is_known_and_only_reads_are_repeatable() {
  assert!(is_repeatable("safe"));
  assert!(is_repeatable("download"));
  assert!(!is_repeatable("unsafe"));
  assert!(!is_repeatable("upload"));
}

#[test]
fn all_fields_of_a_route_are_read() {
  let name: RouteName = "minutes".parse().expect("a name");
  let configuration = read(&configuration_json("safe"));
  configuration.validate().expect("a valid configuration");
  let route = &configuration.routes[&name].value;
  assert_eq!(route.host.as_deref(), Some("minutes.example"));
  assert_eq!(route.path_prefix, "/minutes/");
  assert_eq!(route.handling.attempts, Some(2));
  assert_eq!(route.handling.priority, 2);
  assert_eq!(route.handling.target_ms, Some(250));
  assert_eq!(route.handling.timeout_ms, Some(800));
  let weights: Vec<(&str, u32)> =
    route.handling.split.iter().map(|share| (share.service.as_str(), share.weight)).collect();
  assert_eq!(weights, [("archive", 90), ("registry", 10)]);
  let limits = configuration.limits.expect("limits");
  assert_eq!((limits.head_bytes_max, limits.body_bytes_max), (16_384, 67_108_864));
  assert_eq!((limits.head_timeout_ms, limits.idle_timeout_ms), (3_000, 15_000));
}

/// Reads a configuration with a sound route, `leaflets`, after a first one that cannot be read. Returns the omission of
/// the first one, once the rest is found in force.
fn omission_beside_a_sound_route(mut value: Value, case: &str) -> Omission {
  let mut sound = configuration_json("safe")["Routes"][0].clone();
  sound["Name"] = json!("leaflets");
  sound["PathPrefix"] = json!("/leaflets/");
  value["Routes"].as_array_mut().expect("routes").push(sound);
  let configuration = read(&value);
  configuration.validate().expect("a valid configuration");
  assert_eq!(configuration.version, Version(7), "{case}");
  let routes: Vec<&str> = configuration.routes.keys().map(RouteName::as_str).collect();
  assert_eq!(routes, ["leaflets"], "{case}");
  let [omission] = &configuration.omissions[..] else {
    panic!("{case}: {:?}", configuration.omissions);
  };
  omission.clone()
}

/// Guards against a whole version that is refused for one route of an unknown kind.
#[test]
fn an_unknown_kind_leaves_out_its_route_alone_with_the_reason() {
  let omission = omission_beside_a_sound_route(configuration_json("odd"), "an unknown kind");
  assert_eq!(omission.item, "route minutes");
  assert!(omission.reason.contains("`odd` is not a kind of request"), "{}", omission.reason);
}

/// Guards against a whole version that is refused for one route that cannot be read.
#[test]
fn a_route_without_a_required_field_is_left_out_alone() {
  for field in ["MaxAttempts", "Timeout", "Host", "Name", "PathPrefix", "Kind"] {
    let mut value = configuration_json("safe");
    value["Routes"][0].as_object_mut().expect("a route").remove(field);
    let omission = omission_beside_a_sound_route(value, field);
    let item = if field == "Name" { "route 1 of the list" } else { "route minutes" };
    assert_eq!(omission.item, item, "{field}");
    assert!(!omission.reason.is_empty(), "{field}");
  }
}

#[test]
fn a_route_to_an_unknown_service_is_refused() {
  let mut value = configuration_json("safe");
  value["Routes"][0]["WeightedClusters"][1]["Service"] = json!("nowhere");
  let result = read(&value).validate();
  assert!(result.is_err(), "a route to an unknown service");
}

#[test]
fn truncated_text_is_refused_without_a_version() {
  let text = configuration_json("safe").to_string();
  let refused = OperatorSource.read(&text[..text.len() / 2]).expect_err("a refusal");
  assert_eq!(refused.version, None);
}

#[test]
fn organisations_hold_only_digests_of_their_keys() {
  let mut written = configuration_json("safe");
  written["Tenants"] = json!([
    { "ApiKeys": ["secret-1", "secret-2"], "Burst": 420, "Name": "council", "Priority": 1,
      "RatePerS": 42.5, "AllowedRegions": ["kigali"] },
    { "ApiKeys": [], "Burst": 0, "Name": "parish", "RatePerS": 0 }
  ]);
  written["Routes"][0]["Public"] = json!(true);
  let configuration = read(&written);
  assert!(!configuration.encode().contains("secret"), "the configuration contains a key");
  let council = &configuration.organisations[&"council".parse().expect("a name")].value;
  assert_eq!(council.keys, BTreeSet::from([key("secret-1"), key("secret-2")]));
  assert_eq!((council.priority, council.regions.len()), (Some(1), 1));
  let limit = council.rate_limit.expect("a limit");
  assert_eq!((limit.burst, limit.rate.to_string()), (420, "42.5/s".into()));
  let parish = &configuration.organisations[&"parish".parse().expect("a name")].value;
  assert_eq!((parish.rate_limit, parish.priority), (None, None));
  assert!(configuration.routes[&"minutes".parse().expect("a name")].value.handling.public);
}

fn key(text: &str) -> KeyDigest {
  KeyDigest::of(text.as_bytes())
}

#[test]
fn the_cold_start_limit_of_a_service_is_read() {
  let mut written = configuration_json("safe");
  written["Services"][0]["Cold"] = json!("3s");
  written["Services"][0]["ColdPerS"] = json!(13.0);
  let configuration = read(&written);
  let cold_start =
    |name: &str| configuration.services[&name.parse().expect("a name")].value.cold_start;
  let cold = cold_start("archive").expect("a bound");
  assert_eq!((cold.duration_ms, cold.rate.to_string()), (3_000, "13/s".into()));
  assert_eq!(cold_start("registry"), None);
}

#[test]
fn an_evacuation_key_names_its_data_hall() {
  let hall = |key: &str| OperatorSource.evacuated_hall(&Key::of(&[key]));
  assert_eq!(hall("op/evacuate/milano").expect("a data hall").as_str(), "milano");
  assert_eq!(hall("op/config"), None);
  assert_eq!(hall("op/evacuate/"), None);
}
