use super::*;

/// The path prefix of the route for calls of running requests.
pub(super) const CALL_PATH: &str = "/call/";
/// The path prefix of the route for large answers.
pub const BULK_PATH: &str = "/bulk/";

/// The organisations: their names and rate limits in requests a second, 0 for none.
const ORGANISATIONS: [(&str, u32); 4] =
  [("council", 0), ("harbour", 200), ("library", 40), ("parish", 10)];

/// Returns the credentials of one of the organisations.
pub fn key(number: usize) -> String {
  format!("Bearer key-of-{}", ORGANISATIONS[number % ORGANISATIONS.len()].0)
}

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

/// Returns [`configuration`] with what competes for the services: organisations, routes of other ranks, and calls
/// from the first service to the second.
pub fn shared_configuration(services: &[&str], added: usize) -> String {
  let whole = configuration(services, added);
  let mut whole: serde_json::Value = serde_json::from_str(&whole).expect("JSON");
  let routes = whole["Routes"].as_array_mut().expect("routes");
  let further = |name: &str, path: &str, kind: &str, service: &str, rank: u32| {
    let mut route = routes[0].clone();
    route["Kind"] = kind.into();
    route["Name"] = name.into();
    route["PathPrefix"] = path.into();
    route["Priority"] = rank.into();
    route["Service"] = service.into();
    route
  };
  let bulk = further("r-bulk", BULK_PATH, "download", services[0], 2);
  let call = further("r-call", CALL_PATH, "safe", services[services.len() - 1], 2);
  routes.extend([bulk, call]);
  for route in routes {
    route["Public"] = true.into();
  }
  whole["Tenants"] = ORGANISATIONS
    .iter()
    .map(|(name, rate)| {
      serde_json::json!({
        "ApiKeys": [format!("key-of-{name}")], "Burst": rate, "Name": name, "RatePerS": rate,
      })
    })
    .collect();
  whole.to_string()
}
