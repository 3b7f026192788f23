//! Large configurations in the format of the platform's operators.

use {
  ferryyoke::values::Digest,
  serde_json::{Value, json},
};

/// Returns a configuration with `count` routes, whose names don't compress.
pub fn configuration_text(version: u64, count: usize) -> String {
  let services = json!([{ "HealthPath": "/health", "MaxConnections": 110, "Name": "archive" }]);
  let limits = json!({
    "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms",
    "MaxBodyBytes": 67_108_864, "MaxHeaderBytes": 16_384
  });
  let routes: Vec<Value> = (0..count).map(route).collect();
  let whole =
    json!({ "Limits": limits, "Routes": routes, "Services": services, "Version": version });
  whole.to_string()
}

fn route(index: usize) -> Value {
  let name = Digest::of(format!("route-{index}").as_bytes()).to_string();
  json!({
    "Host": "minutes.example", "Kind": "safe", "MaxAttempts": 2, "Name": name[..40],
    "PathPrefix": format!("/{}/", &name[40..56]), "Service": "archive", "TargetLatency": "200ms",
    "Timeout": "1s"
  })
}
