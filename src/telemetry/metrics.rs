use super::*;

use {
  self::labels::{ByteLabels, LinkLabels, RequestLabels, StoreLabels},
  prometheus_client::{
    metrics::{
      counter::Counter,
      family::Family,
      gauge::Gauge,
      histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
  },
};

/// The daemon's metrics.
pub struct Metrics {
  /// When the configuration in force was applied, in milliseconds since 1970.
  pub applied_unix_ms: Gauge,
  /// Processes of the backend server that ended while they ran requests.
  pub backend_crashes: Counter,
  /// Configurations in the store that were not taken.
  pub configurations_refused: Counter,
  /// Entries of the directory that could not be read, each once.
  pub entries_unreadable: Counter,
  /// Fingerprints of requests that are held back, as far as this daemon knows.
  pub fingerprints_held: Gauge,
  /// Caller classes and services that have labels of their own so far.
  known: RefCell<BTreeSet<String>>,
  link_bytes: Family<ByteLabels, Counter>,
  /// Backend servers that take work, as far as this daemon knows.
  pub live_endpoints: Gauge,
  /// Links refused for a wrong key, an old protocol or garbage.
  links_refused: Family<LinkLabels, Counter>,
  registry: Registry,
  /// Reports to this daemon that none of its backend server's processes sent.
  pub reports_refused: Counter,
  request_seconds: Family<RequestLabels, Histogram, fn() -> Histogram>,
  /// Requests that were refused here because processes of backend servers had ended while they ran them.
  pub requests_held_back: Counter,
  /// Requests that were refused here because their organisation asked for more than its rate limit.
  pub requests_over_limit: Counter,
  /// How often the process stood still.
  pub standstills: Counter,
  store_calls: Family<StoreLabels, Counter>,
  /// How often the store came back from a copy.
  pub store_era: Gauge,
  /// The configuration version in force.
  pub version: Gauge,
}

impl Metrics {
  /// Caller classes and services with labels of their own; more are counted as `other`.
  const LABELS_MAX: usize = 256;

  /// Metrics that all start at zero.
  pub fn new() -> Self {
    let mut registry = Registry::with_prefix("ferryyoke");
    let request_seconds: Family<RequestLabels, Histogram, fn() -> Histogram> =
      Family::new_with_constructor(|| Histogram::new(exponential_buckets(0.000_1, 2.0, 18)));
    let link_bytes = Family::default();
    let links_refused = Family::default();
    let configurations_refused: Counter = Counter::default();
    registry.register(
      "configurations_refused",
      "Configurations in the store that were not taken",
      configurations_refused.clone(),
    );
    let entries_unreadable: Counter = Counter::default();
    registry.register(
      "entries_unreadable",
      "Entries of the directory that could not be read",
      entries_unreadable.clone(),
    );
    let live_endpoints: Gauge = Gauge::default();
    registry.register(
      "live_endpoints",
      "Backend servers that take work, as far as this daemon knows",
      live_endpoints.clone(),
    );
    let reports_refused: Counter = Counter::default();
    registry.register(
      "reports_refused",
      "Reports that none of the backend server's processes sent",
      reports_refused.clone(),
    );
    let backend_crashes: Counter = Counter::default();
    registry.register(
      "backend_crashes",
      "Processes of the backend server that ended while they ran requests",
      backend_crashes.clone(),
    );
    let fingerprints_held: Gauge = Gauge::default();
    registry.register(
      "fingerprints_held",
      "Fingerprints of requests that are held back, as far as this daemon knows",
      fingerprints_held.clone(),
    );
    let requests_held_back: Counter = Counter::default();
    registry.register(
      "requests_held_back",
      "Requests refused because processes of backend servers had ended while they ran them",
      requests_held_back.clone(),
    );
    let requests_over_limit: Counter = Counter::default();
    registry.register(
      "requests_over_limit",
      "Requests refused because their organisation asked for more than its rate limit",
      requests_over_limit.clone(),
    );
    let standstills: Counter = Counter::default();
    registry.register(
      "standstills",
      "How often the process stood still, for its machine was suspended or it got no processor",
      standstills.clone(),
    );
    let store_calls = Family::default();
    let store_era: Gauge = Gauge::default();
    registry.register("store_era", "How often the store came back from a copy", store_era.clone());
    let version: Gauge = Gauge::default();
    registry.register(
      "request_seconds",
      "Seconds to the head of the answer, by service and caller class",
      request_seconds.clone(),
    );
    registry.register("link_bytes", "Bytes on links between daemons", link_bytes.clone());
    registry.register("links_refused", "Links refused, by reason", links_refused.clone());
    registry.register("store_calls", "Calls to the store, by result", store_calls.clone());
    let applied_unix_ms: Gauge = Gauge::default();
    registry.register(
      "configuration_applied_unix_ms",
      "When the version in force was applied, in milliseconds since 1970",
      applied_unix_ms.clone(),
    );
    registry.register("configuration_version", "The version in force", version.clone());
    Self {
      applied_unix_ms,
      backend_crashes,
      configurations_refused,
      entries_unreadable,
      fingerprints_held,
      known: RefCell::default(),
      link_bytes,
      live_endpoints,
      links_refused,
      registry,
      reports_refused,
      request_seconds,
      requests_held_back,
      requests_over_limit,
      standstills,
      store_calls,
      store_era,
      version,
    }
  }

  /// A request ended.
  pub fn request(&self, service: &str, class: &str, outcome: &str, seconds: f64) {
    let labels = RequestLabels {
      class: self.bounded(class),
      outcome: outcome.into(),
      service: self.bounded(service),
    };
    self.request_seconds.get_or_create(&labels).observe(seconds);
  }

  /// Callers choose their class, so the number of label values is bounded here.
  fn bounded(&self, value: &str) -> String {
    let mut known = self.known.borrow_mut();
    if known.contains(value) {
      return value.into();
    }
    if known.len() >= Self::LABELS_MAX {
      return "other".into();
    }
    known.insert(value.into());
    value.into()
  }

  /// Bytes came over a link.
  pub fn link_received(&self, bytes: usize) {
    self.link_bytes.get_or_create(&ByteLabels { direction: "received" }).inc_by(bytes as u64);
  }

  /// Bytes went over a link.
  pub fn link_sent(&self, bytes: usize) {
    self.link_bytes.get_or_create(&ByteLabels { direction: "sent" }).inc_by(bytes as u64);
  }

  /// A link was refused. Returns how many were refused for this reason before.
  pub fn link_refused(&self, reason: &'static str) -> u64 {
    self.links_refused.get_or_create(&LinkLabels { reason }).inc()
  }

  /// The store was called.
  pub fn store_called<T>(&self, result: &store::Result<T>) {
    let result = match result {
      Ok(_) => "done",
      Err(store::Error::Refused(_)) => "refused",
      Err(store::Error::Unknown { .. }) => "unknown",
    };
    self.store_calls.get_or_create(&StoreLabels { result }).inc();
  }

  /// All metrics in the text format that monitors read.
  pub fn encode(&self) -> String {
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, &self.registry)
      .expect("writing to a string does not fail");
    text
  }
}

impl Default for Metrics {
  fn default() -> Self {
    Self::new()
  }
}
