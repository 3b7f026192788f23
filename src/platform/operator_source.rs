use super::*;

/// Reads the configuration that the platform's operators write to its store.
#[derive(Debug, Default)]
pub struct OperatorSource;

/// The operators' configuration format.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct OperatorConfiguration {
  limits: Limits,
  routes: Vec<OperatorRoute>,
  services: Vec<OperatorService>,
  /// If there are any, every request needs a key of one of them, except on public routes.
  #[serde(default)]
  tenants: Vec<Tenant>,
  version: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Limits {
  #[serde(deserialize_with = "duration_ms")]
  header_timeout: u64,
  #[serde(deserialize_with = "duration_ms")]
  idle_timeout: u64,
  max_body_bytes: u64,
  max_header_bytes: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct OperatorRoute {
  /// Regions in which requests may be served; all if empty.
  #[serde(default)]
  allowed_regions: BTreeSet<Region>,
  host: String,
  /// Requests of kind `safe` and `download` may run more than once; `unsafe` and `upload` may not.
  kind: String,
  /// The number of backend servers to which a request may be sent, rather than the number of tries.
  max_attempts: u32,
  name: RouteName,
  path_prefix: String,
  #[serde(default)]
  priority: u32,
  /// Whether callers may omit the key.
  #[serde(default)]
  public: bool,
  #[serde(default)]
  service: Option<ServiceName>,
  #[serde(default, deserialize_with = "optional_duration_ms")]
  target_latency: Option<u64>,
  /// The maximum time for which the mesh holds a request.
  #[serde(deserialize_with = "duration_ms")]
  timeout: u64,
  /// Services that share the route's requests by weight, instead of `service`.
  #[serde(default)]
  weighted_clusters: Vec<Share>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Share {
  service: ServiceName,
  weight: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct OperatorService {
  /// The maximum time for which its backend servers stay cold.
  #[serde(default, deserialize_with = "optional_duration_ms")]
  cold: Option<u64>,
  /// Requests per second that a cold backend server accepts; 0 for no limit.
  #[serde(default)]
  cold_per_s: f64,
  health_path: String,
  max_connections: u32,
  name: ServiceName,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Tenant {
  /// Regions in which its requests may be served; all if empty.
  #[serde(default)]
  allowed_regions: BTreeSet<Region>,
  #[serde(default)]
  api_keys: Vec<String>,
  #[serde(default)]
  burst: f64,
  name: OrganisationName,
  #[serde(default)]
  priority: Option<u32>,
  /// Requests per second over all daemons; 0 for no limit.
  #[serde(default)]
  rate_per_s: f64,
}

/// The prefix of evacuation keys. While such a key exists, the data hall that it names is
/// evacuated.
const EVACUATIONS: &str = "op/evacuate/";

/// The prefix of the operators' rollout orders, one per service.
const ORDERS: &str = "op/rollout/";

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RolloutOrder {
  #[serde(deserialize_with = "duration_ms")]
  duration: u64,
  service: ServiceName,
  target_version: SoftwareVersion,
}

fn optional_duration_ms<'de, D: serde::Deserializer<'de>>(
  deserializer: D,
) -> Result<Option<u64>, D::Error> {
  duration_ms(deserializer).map(Some)
}

impl Source for OperatorSource {
  fn key(&self) -> Key {
    Key::of(&["op", "config"])
  }

  fn evacuated_hall(&self, key: &Key) -> Option<DataHall> {
    key.as_str().strip_prefix(EVACUATIONS)?.parse().ok()
  }

  fn ordered_service(&self, key: &Key) -> Option<ServiceName> {
    key.as_str().strip_prefix(ORDERS)?.parse().ok()
  }

  fn prefix(&self) -> Key {
    Key::of(&["op", ""])
  }

  fn read_order(&self, value: &str) -> Result<Order, String> {
    let read: RolloutOrder = serde_json::from_str(value).map_err(|err| err.to_string())?;
    let RolloutOrder { duration: duration_ms, service, target_version: target } = read;
    Ok(Order { duration_ms, service, target })
  }

  fn read(&self, value: &str) -> Result<Configuration, ParseError> {
    let read = serde_json::from_str(value).map_err(|err| err.to_string());
    read.and_then(translate).map_err(|reason| ParseError { reason, version: version_of(value) })
  }
}

/// Returns the version of a configuration that is otherwise unreadable.
fn version_of(value: &str) -> Option<Version> {
  let value: serde_json::Value = serde_json::from_str(value).ok()?;
  value["Version"].as_u64().map(Version)
}

/// Milliseconds for which a backend server stays cold if neither it nor its service sets a time.
const COLD_DEFAULT_MS: u64 = 3_000;

/// The name of the team and of the policy that represent the platform's operators.
const OPERATORS: &str = "platform";

fn translate(read: OperatorConfiguration) -> Result<Configuration, String> {
  let version = Version(read.version);
  let mut next = Configuration {
    limits: Some(CallerLimits {
      body_bytes_max: read.limits.max_body_bytes,
      head_bytes_max: read.limits.max_header_bytes,
      head_timeout_ms: read.limits.header_timeout,
      idle_timeout_ms: read.limits.idle_timeout,
    }),
    version,
    ..Configuration::default()
  };
  let owner: Team = OPERATORS.parse().expect("a name");
  let policy: PolicyName = OPERATORS.parse().expect("a name");
  // Routes set their own attempts and timeout, so only the policy's other values take effect.
  let value = Policy { attempts: 1, deadline_ms: 30_000, owner: owner.clone(), queue_length: 256 };
  next.policies.insert(policy.clone(), Revised { revision: Patch::SOURCE_REVISION, value });
  for service in read.services {
    let cold_rate = Rate::per_s(service.cold_per_s).filter(|rate| !rate.is_zero());
    let cold_start = cold_rate
      .map(|rate| ColdStart { duration_ms: service.cold.unwrap_or(COLD_DEFAULT_MS), rate });
    let value = Service {
      cold_start,
      connections: Some(service.max_connections),
      health_path: Some(service.health_path),
      owner: owner.clone(),
      policy: policy.clone(),
    };
    next.services.insert(service.name, Revised { revision: Patch::SOURCE_REVISION, value });
  }
  for tenant in read.tenants {
    let name = tenant.name.clone();
    let value = translate_tenant(tenant, owner.clone());
    next.organisations.insert(name, Revised { revision: Patch::SOURCE_REVISION, value });
  }
  for route in read.routes {
    let name = route.name.clone();
    let value = translate_route(route, owner.clone())?;
    next.routes.insert(name, Revised { revision: Patch::SOURCE_REVISION, value });
  }
  Ok(next)
}

fn translate_tenant(tenant: Tenant, owner: Team) -> Organisation {
  let rate = Rate::per_s(tenant.rate_per_s).filter(|rate| !rate.is_zero());
  #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
  let burst = tenant.burst.max(0.0) as u64;
  Organisation {
    keys: tenant.api_keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect(),
    owner,
    priority: tenant.priority,
    rate_limit: rate.map(|rate| RateLimit { burst, rate }),
    regions: tenant.allowed_regions,
  }
}

fn translate_route(route: OperatorRoute, owner: Team) -> Result<Route, String> {
  let repeatable = match route.kind.as_str() {
    "download" | "safe" => true,
    "unsafe" | "upload" => false,
    other => return Err(format!("route {}: `{other}` is not a kind of request", route.name)),
  };
  let shares = route.weighted_clusters.into_iter();
  let split: Vec<WeightedService> =
    shares.map(|share| WeightedService { service: share.service, weight: share.weight }).collect();
  let service = route.service.or_else(|| split.first().map(|share| share.service.clone()));
  Ok(Route {
    handling: Handling {
      attempts: Some(route.max_attempts),
      priority: route.priority,
      public: route.public,
      regions: route.allowed_regions,
      retry_failures: repeatable,
      sent_once: !repeatable,
      split,
      target_ms: route.target_latency,
      timeout_ms: Some(route.timeout),
    },
    headers: BTreeMap::new(),
    host: Some(route.host),
    method: None,
    owner,
    path_prefix: route.path_prefix,
    repeatable,
    service: service.ok_or_else(|| format!("route {} names no service", route.name))?,
  })
}
