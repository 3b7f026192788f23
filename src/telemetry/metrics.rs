use super::*;

use std::sync::atomic::AtomicU64;

use {
  self::labels::{ByteLabels, EntryLabels, LinkLabels, RequestLabels, ReturnLabels, StoreLabels},
  prometheus_client::{
    metrics::{
      counter::Counter,
      family::Family,
      gauge::Gauge,
      histogram::{Histogram, exponential_buckets},
    },
    registry::{Metric, Registry},
  },
};

/// The daemon's metrics.
pub struct Metrics {
  /// The configuration in force.
  pub configuration: ConfigurationMetrics,
  /// The connections of all peers.
  pub connections: ConnectionMetrics,
  /// Processes of the backend server that ended while they ran requests.
  pub backend_crashes: Counter,
  /// The requests a second that the backend server's answers name as its limit; 0 without a limit.
  pub backend_limit: Gauge<f64, AtomicU64>,
  /// How long work takes at the backend server, in percent of the usual time of its service.
  pub backend_slowdown_percent: Gauge,
  /// Requests passed to the backend server.
  pub backend_requests: Counter,
  /// Entries of the directory that could not be read. Each counts once.
  pub entries_unreadable: Counter,
  /// Callers' requests that were tried or refused before any try.
  entries: Family<EntryLabels, Counter>,
  /// Fingerprints of quarantined requests that this daemon knows.
  pub fingerprints_held: Gauge,
  /// Caller classes and services that have a label value of their own so far.
  known: RefCell<BTreeSet<String>>,
  link_bytes: Family<ByteLabels, Counter>,
  /// Live backend servers that this daemon knows.
  pub live_endpoints: Gauge,
  /// Links refused for a wrong key, an old protocol version or invalid data.
  links_refused: Family<LinkLabels, Counter>,
  /// The large answers that the box sends over its network link.
  pub outbound: OutboundMetrics,
  /// Number of pauses of the process.
  pub process_pauses: Counter,
  registry: Registry,
  /// Reports to this daemon that are not from its backend server.
  pub reports_refused: Counter,
  request_seconds: Family<RequestLabels, Histogram, fn() -> Histogram>,
  /// Requests refused here because they are quarantined: backend servers crashed while they ran them.
  pub requests_held_back: Counter,
  /// Requests refused here before any try because their callers were told to come back later.
  pub requests_early: Counter,
  /// Returns refused here before any try because their classes come back early in series.
  pub returns_refused_for_class: Counter,
  /// Requests refused here before any try because calls that their run needs would fail.
  pub requests_refused_for_calls: Counter,
  /// Refused callers that were told when to come back.
  returns: Family<ReturnLabels, Counter>,
  /// Requests refused here because their organisation exceeded its rate limit.
  pub requests_over_limit: Counter,
  store_calls: Family<StoreLabels, Counter>,
  /// Number of restores of the store from a backup.
  pub store_era: Gauge,
}

impl Metrics {
  /// Largest number of caller classes and services with a label value of their own; others count as `other`.
  const LABELS_MAX: usize = 256;

  /// Largest rank with a label value of its own; lower ranks count as this one.
  const RANK_MAX: u32 = 15;

  /// Creates the metrics, all at zero.
  pub fn new() -> Self {
    let mut registry = Registry::with_prefix("ferryyoke");
    let of = &mut registry;
    Self {
      backend_crashes: registered(
        of,
        "backend_crashes",
        "Processes of the backend server that ended while they ran requests",
      ),
      backend_limit: registered(
        of,
        "backend_limit",
        "Requests a second that the backend server names as its limit, 0 without a limit",
      ),
      backend_requests: registered(of, "backend_requests", "Requests passed to the backend server"),
      backend_slowdown_percent: registered(
        of,
        "backend_slowdown_percent",
        "How long work takes at the backend server, in percent of the usual time of its service",
      ),
      configuration: ConfigurationMetrics::new(of),
      connections: ConnectionMetrics::new(of),
      entries_unreadable: registered(
        of,
        "entries_unreadable",
        "Entries of the directory that could not be read",
      ),
      entries: registered(
        of,
        "entries",
        "Requests that were tried or refused before any try, by service and rank",
      ),
      fingerprints_held: registered(
        of,
        "fingerprints_held",
        "Fingerprints of requests that are held back, as far as this daemon knows",
      ),
      known: RefCell::default(),
      link_bytes: registered(of, "link_bytes", "Bytes on links between daemons"),
      links_refused: registered(of, "links_refused", "Links refused, by reason"),
      live_endpoints: registered(
        of,
        "live_endpoints",
        "Backend servers that take work, as far as this daemon knows",
      ),
      outbound: OutboundMetrics::new(of),
      process_pauses: registered(
        of,
        "standstills",
        "How often the process stood still, for its machine was suspended or it got no processor",
      ),
      reports_refused: registered(
        of,
        "reports_refused",
        "Reports that none of the backend server's processes sent",
      ),
      request_seconds: registered_request_seconds(of),
      requests_held_back: registered(
        of,
        "requests_held_back",
        "Requests refused because processes of backend servers had ended while they ran them",
      ),
      requests_early: registered(
        of,
        "requests_early",
        "Requests refused before any try because their callers were told to come back later",
      ),
      returns: registered(
        of,
        "returns_planned",
        "Refused callers that were told when to come back, by whether room is expected then",
      ),
      returns_refused_for_class: registered(
        of,
        "returns_refused_for_class",
        "Returns refused before any try because most callers of their class come back early in series",
      ),
      requests_refused_for_calls: registered(
        of,
        "requests_refused_for_calls",
        "Requests refused before any try because calls that their run needs would fail",
      ),
      requests_over_limit: registered(
        of,
        "requests_over_limit",
        "Requests refused because their organisation asked for more than its rate limit",
      ),
      store_calls: registered(of, "store_calls", "Calls to the store, by result"),
      store_era: registered(of, "store_era", "How often the store came back from a copy"),
      registry,
    }
  }

  /// Counts a request that is tried, or refused before any try.
  pub fn count_entry(&self, service: &str, priority: u32, is_admitted: bool) {
    let labels = EntryLabels {
      decision: if is_admitted { "tried" } else { "refused" },
      rank: priority.min(Self::RANK_MAX),
      service: self.bounded(service),
    };
    self.entries.get_or_create(&labels).inc();
  }

  /// Counts a refused caller that was told when to come back.
  pub fn count_return(&self, plan: &'static str) {
    self.returns.get_or_create(&ReturnLabels { plan }).inc();
  }

  /// Records the duration of a request to the head of its answer, in seconds.
  pub fn record_request(&self, service: &str, class: &str, outcome: &str, seconds: f64) {
    let labels = RequestLabels {
      class: self.bounded(class),
      outcome: outcome.into(),
      service: self.bounded(service),
    };
    self.request_seconds.get_or_create(&labels).observe(seconds);
  }

  /// Returns the label value, or `other` beyond [`Self::LABELS_MAX`]: callers choose their class freely.
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

  /// Counts bytes received over a link.
  pub fn link_received(&self, bytes: usize) {
    self.link_bytes.get_or_create(&ByteLabels { direction: "received" }).inc_by(bytes as u64);
  }

  /// Counts bytes sent over a link.
  pub fn link_sent(&self, bytes: usize) {
    self.link_bytes.get_or_create(&ByteLabels { direction: "sent" }).inc_by(bytes as u64);
  }

  /// Counts a refused link. Returns how many were refused for this reason before.
  pub fn link_refused(&self, reason: &'static str) -> u64 {
    self.links_refused.get_or_create(&LinkLabels { reason }).inc()
  }

  /// Counts a call to the store by its result.
  pub fn count_store_call<T>(&self, result: &store::Result<T>) {
    let result = match result {
      Ok(_) => "done",
      Err(store::Error::Refused(_)) => "refused",
      Err(store::Error::Unknown { .. }) => "unknown",
    };
    self.store_calls.get_or_create(&StoreLabels { result }).inc();
  }

  /// Returns all metrics in the Prometheus text format.
  pub fn encode(&self) -> String {
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, &self.registry)
      .expect("writing to a string does not fail");
    text
  }
}

/// Registers the histogram of the requests' durations.
fn registered_request_seconds(
  registry: &mut Registry,
) -> Family<RequestLabels, Histogram, fn() -> Histogram> {
  let request_seconds: Family<RequestLabels, Histogram, fn() -> Histogram> =
    Family::new_with_constructor(|| Histogram::new(exponential_buckets(0.000_1, 2.0, 18)));
  registry.register(
    "request_seconds",
    "Seconds to the head of the answer, by service and caller class",
    request_seconds.clone(),
  );
  request_seconds
}

/// Creates a metric at zero, and registers it.
pub(super) fn registered<M: Clone + Default + Metric>(
  registry: &mut Registry,
  name: &str,
  help: &str,
) -> M {
  let metric = M::default();
  registry.register(name, help, metric.clone());
  metric
}

impl Default for Metrics {
  fn default() -> Self {
    Self::new()
  }
}
