//! What the adapter makes of the configurations that the platform's operators write.

use {
  ferryyoke::{
    configuration::{Configuration, Source},
    platform::OperatorSource,
    values::{RouteName, Version},
  },
  serde_json::{Value, json},
};

/// A configuration with one route, each kind of field given once.
fn written(kind: &str) -> Value {
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
  let configuration = read(&written(kind));
  configuration.routes[&name].value.repeatable
}

#[test]
fn every_kind_of_request_is_known_and_only_reads_may_run_again() {
  assert!(is_repeatable("safe"));
  assert!(is_repeatable("download"));
  assert!(!is_repeatable("unsafe"));
  assert!(!is_repeatable("upload"));
}

#[test]
fn a_route_is_read_whole() {
  let name: RouteName = "minutes".parse().expect("a name");
  let configuration = read(&written("safe"));
  configuration.validate().expect("a sound configuration");
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

#[test]
fn an_unknown_kind_is_refused_with_the_version_and_the_reason() {
  let refused = OperatorSource.read(&written("odd").to_string()).expect_err("a refusal");
  assert_eq!(refused.version, Some(Version(7)));
  assert!(refused.reason.contains("`odd` is not a kind of request"), "{}", refused.reason);
}

#[test]
fn what_lacks_a_bound_or_a_service_is_refused() {
  for field in ["MaxAttempts", "Timeout", "Host", "Name", "PathPrefix", "Kind"] {
    let mut value = written("safe");
    value["Routes"][0].as_object_mut().expect("a route").remove(field);
    let refused = OperatorSource.read(&value.to_string()).expect_err(field);
    assert_eq!(refused.version, Some(Version(7)), "{field}");
  }
  let mut value = written("safe");
  value["Routes"][0]["WeightedClusters"][1]["Service"] = json!("nowhere");
  let unsound = read(&value).validate();
  assert!(unsound.is_err(), "a route to an unknown service");
}

#[test]
fn a_text_that_breaks_off_is_refused_without_a_version() {
  let text = written("safe").to_string();
  let refused = OperatorSource.read(&text[..text.len() / 2]).expect_err("a refusal");
  assert_eq!(refused.version, None);
}
