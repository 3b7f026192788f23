//! Translates the operators' configuration, item by item: one that cannot be read is left out alone.

use super::*;

use serde_json::value::RawValue;

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

fn optional_duration_ms<'de, D: serde::Deserializer<'de>>(
  deserializer: D,
) -> Result<Option<u64>, D::Error> {
  duration_ms(deserializer).map(Some)
}

/// Milliseconds for which a backend server stays cold if neither it nor its service sets a time.
const COLD_DEFAULT_MS: u64 = 3_000;

/// The name of the team and of the policy that represent the platform's operators.
const OPERATORS: &str = "platform";

/// Translates the fields of a configuration.
///
/// # Errors
///
/// Fails if a list of items is no list, so that its items are unknown.
pub(super) fn translate(version: Version, fields: &Fields) -> Result<Configuration, String> {
  let mut translation = Translation::new(version);
  translation.read_limits(fields);
  for item in fields.get::<Vec<&RawValue>>("Services")? {
    translation.add_service(item.get());
  }
  for item in fields.find::<Vec<&RawValue>>("Tenants")?.unwrap_or_default() {
    translation.add_tenant(item.get());
  }
  let routes = fields.get::<Vec<&RawValue>>("Routes")?;
  let names = routes.iter().filter_map(|item| ItemName::of(item.get()).name).collect();
  for (index, item) in routes.iter().enumerate() {
    translation.add_route(index, item.get(), &names);
  }
  Ok(translation.next)
}

/// What names an item, as far as that can be read.
#[derive(Default)]
struct ItemName {
  host: Option<String>,
  name: Option<String>,
  path_prefix: Option<String>,
}

impl ItemName {
  fn of(item: &str) -> Self {
    let Ok(fields) = Fields::of(item) else {
      return Self::default();
    };
    let text = |name| fields.get::<String>(name).ok();
    Self { host: text("Host"), name: text("Name"), path_prefix: text("PathPrefix") }
  }
}

/// A configuration being translated.
struct Translation {
  /// Host and path prefix of the routes so far.
  matched: BTreeSet<(String, String)>,
  /// Whether a service could not be told from its item, so that routes may name it in vain.
  misses_service: bool,
  next: Configuration,
  owner: Team,
  policy: PolicyName,
}

impl Translation {
  fn new(version: Version) -> Self {
    let owner: Team = OPERATORS.parse().expect("a name");
    let policy: PolicyName = OPERATORS.parse().expect("a name");
    // Routes set their own attempts and timeout, so only the policy's other values take effect.
    let value =
      Policy { attempts: 1, deadline_ms: 30_000, owner: owner.clone(), queue_length: 256 };
    let mut next = Configuration { version, ..Configuration::default() };
    next.policies.insert(policy.clone(), revised(value));
    Self { matched: BTreeSet::new(), misses_service: false, next, owner, policy }
  }

  /// Records an omission, with the requests that an omitted route would match.
  fn omit(&mut self, omission: Omission) {
    self.next.omissions.push(omission);
  }

  /// Reads the limits. One that cannot be read is the default.
  fn read_limits(&mut self, fields: &Fields) {
    let found = fields.get::<&RawValue>("Limits").and_then(|limits| Fields::of(limits.get()));
    let limits = match found {
      Ok(limits) => limits,
      Err(reason) => return self.omit(Omission::new("`Limits`", reason)),
    };
    let mut read = CallerLimits::default();
    let outcomes = [
      limits.get("MaxBodyBytes").map(|bytes| read.body_bytes_max = bytes),
      limits.get("MaxHeaderBytes").map(|bytes| read.head_bytes_max = bytes),
      limits.get("HeaderTimeout").map(|Milliseconds(ms)| read.head_timeout_ms = ms),
      limits.get("IdleTimeout").map(|Milliseconds(ms)| read.idle_timeout_ms = ms),
    ];
    for reason in outcomes.into_iter().filter_map(Result::err) {
      self.omit(Omission::new("a field of `Limits`", reason));
    }
    self.next.limits = Some(read);
  }

  /// Adds a service. Its name is enough for it; a field that cannot be read is left out alone.
  fn add_service(&mut self, item: &str) {
    let read = Fields::of(item).and_then(|fields| Ok((fields.get::<ServiceName>("Name")?, fields)));
    let (name, fields) = match read {
      Ok(read) => read,
      Err(reason) => {
        self.misses_service = true;
        return self.omit(Omission::new("a service", reason));
      }
    };
    let item = ObjectName::Service(name.clone());
    let health_path = self.field_of(&item, fields.get("HealthPath"));
    let connections = self.field_of(&item, fields.get("MaxConnections"));
    let cold_ms = self.field_of(&item, fields.find("Cold")).flatten();
    let cold_per_s = self.field_of(&item, fields.find("ColdPerS")).flatten().unwrap_or_default();
    let rate = Rate::per_s(cold_per_s).filter(|rate| !rate.is_zero());
    let duration_ms = cold_ms.map_or(COLD_DEFAULT_MS, |Milliseconds(ms)| ms);
    let service = Service {
      cold_start: rate.map(|rate| ColdStart { duration_ms, rate }),
      connections,
      health_path,
      owner: self.owner.clone(),
      policy: self.policy.clone(),
    };
    match self.next.services.get(&name) {
      Some(first) if first.value == service => {}
      Some(_) => self.omit(Omission::new(format!("{item}, listed again,"), LISTED_BEFORE)),
      None => drop(self.next.services.insert(name, revised(service))),
    }
  }

  /// Returns the field of an item, or records that it is left out.
  fn field_of<T>(&mut self, item: &ObjectName, read: Result<T, String>) -> Option<T> {
    read.map_err(|reason| self.omit(Omission::new(format!("a field of {item}"), reason))).ok()
  }

  /// Adds an organisation. One that cannot be read has no keys: without it, callers would need no
  /// key if it were the only one.
  fn add_tenant(&mut self, item: &str) {
    let read = serde_json::from_str::<Tenant>(item);
    let tenant = match read {
      Ok(tenant) => tenant,
      Err(err) => {
        let name = ItemName::of(item).name.unwrap_or_else(|| "without a readable name".into());
        let name = OrganisationName::from(name);
        self.omit(Omission::new(ObjectName::Organisation(name.clone()), err));
        let without_keys = Organisation {
          keys: BTreeSet::new(),
          owner: self.owner.clone(),
          priority: None,
          rate_limit: None,
          regions: BTreeSet::new(),
        };
        self.next.organisations.entry(name).or_insert_with(|| revised(without_keys));
        return;
      }
    };
    let name = tenant.name.clone();
    let organisation = translate_tenant(tenant, self.owner.clone());
    let Some(first) = self.next.organisations.get_mut(&name) else {
      self.next.organisations.insert(name, revised(organisation));
      return;
    };
    // Callers with keys of both entries are of the one organisation, as backend servers see it.
    let keys = first.value.keys.union(&organisation.keys).copied().collect();
    let same = Organisation { keys, ..first.value.clone() };
    if same == (Organisation { keys: same.keys.clone(), ..organisation }) {
      first.value = same;
    } else {
      let item = ObjectName::Organisation(name);
      self.omit(Omission::new(format!("{item}, listed again,"), LISTED_BEFORE));
    }
  }

  /// Adds a route. Of two routes of one name, the later one gets a number.
  fn add_route(&mut self, index: usize, item: &str, names: &BTreeSet<String>) {
    let read = serde_json::from_str::<OperatorRoute>(item).map_err(|err| err.to_string());
    let read = read.and_then(|route| {
      let name = self.free_name(&route.name, names);
      Ok((name, self.check_route(translate_route(route, self.owner.clone())?)?))
    });
    match read {
      Ok((name, route)) => drop(self.next.routes.insert(name, revised(route))),
      Err(reason) => {
        let ItemName { host, name, path_prefix } = ItemName::of(item);
        let place = || format!("route {} of the list", index + 1);
        let item = name.map(|name| ObjectName::Route(RouteName::from(name)).to_string());
        let omission = Omission::new(item.unwrap_or_else(place), reason);
        self.omit(Omission { host, path_prefix, ..omission });
      }
    }
  }

  /// Returns the name, or with a number that no listed route has in its name if it is taken.
  fn free_name(&self, name: &RouteName, names: &BTreeSet<String>) -> RouteName {
    if !self.next.routes.contains_key(name) {
      return name.clone();
    }
    let mut numbered = (2..).map(|number| format!("{} ({number})", name.as_str()));
    let is_free = |name: &String| {
      !names.contains(name) && !self.next.routes.contains_key(&RouteName::from(name.as_str()))
    };
    numbered.find(is_free).map_or_else(|| name.clone(), RouteName::from)
  }

  /// Returns the route, or why it can't be in force beside those before it.
  fn check_route(&mut self, route: Route) -> Result<Route, String> {
    if !route.path_prefix.starts_with('/') {
      return Err("its path prefix does not start with `/`".into());
    }
    let unlisted = route.services().find(|service| !self.next.services.contains_key(*service));
    if let Some(service) = unlisted.filter(|_| self.misses_service) {
      return Err(format!("service {service} is not among those that can be read"));
    }
    let matched = (route.host.clone().unwrap_or_default(), route.path_prefix.clone());
    if !self.matched.insert(matched) {
      return Err("a route before it matches the same requests".into());
    }
    Ok(route)
  }
}

/// Why of two different items of one name only the first is in force.
const LISTED_BEFORE: &str = "an item of this name with other fields stands before it";

/// A duration in the platform's format, in milliseconds.
#[derive(Deserialize)]
struct Milliseconds(#[serde(deserialize_with = "duration_ms")] u64);

fn revised<T>(value: T) -> Revised<T> {
  Revised { revision: Patch::SOURCE_REVISION, value }
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
    other => return Err(format!("`{other}` is not a kind of request")),
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
    service: service.ok_or("it names no service")?,
  })
}
