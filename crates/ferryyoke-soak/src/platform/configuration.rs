use super::*;

/// Returns the path of an added route.
pub fn added_path(number: usize) -> String {
  format!("/added-{number}/")
}

/// Returns the operators' configuration: the initial routes and `added` further ones.
pub fn configuration(services: &[&str], added: usize) -> String {
  let route = |name: &str, path: &str, kind: &str, service: &str| {
    serde_json::json!({
      "Host": "soak.example", "Kind": kind, "MaxAttempts": 2, "Name": name, "PathPrefix": path,
      "Priority": 1, "Service": service, "TargetLatency": "400ms", "Timeout": "2s",
    })
  };
  let mut routes: Vec<serde_json::Value> = [Kind::Read, Kind::Send, Kind::Upload]
    .iter()
    .zip(["safe", "unsafe", "upload"])
    .enumerate()
    .map(|(index, (kind, word))| {
      route(&format!("r-{word}"), kind.path(), word, services[index % services.len()])
    })
    .collect();
  routes.extend(
    (1..=added)
      .map(|number| route(&format!("r-{number}"), &added_path(number), "safe", services[0])),
  );
  let services = services.iter().map(
    |name| serde_json::json!({ "HealthPath": "/health", "MaxConnections": 200, "Name": name }),
  );
  let limits = serde_json::json!({
    "HeaderTimeout": "5s", "IdleTimeout": "10s", "MaxBodyBytes": 1 << 20, "MaxHeaderBytes": 16_384,
  });
  serde_json::json!({
    "Limits": limits, "Routes": routes, "Services": services.collect::<Vec<_>>(),
    "Version": 1 + 3 * added,
  })
  .to_string()
}
