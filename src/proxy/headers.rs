//! The HTTP headers that daemons, callers and backend servers exchange about a request.

use super::*;

pub use crate::node::header_names::{ORGANISATION, REQUEST_ID, TIME_LEFT_MS};

/// Between daemons: expected size of the answer in bytes.
pub const ANSWER_BYTES: &str = "x-ferryyoke-answer-bytes";
/// Between daemons: in a query, the key of the try that is asked about; in the answer, its status.
pub const ARRIVAL: &str = "x-ferryyoke-arrival";
/// Between daemons: upper bound in milliseconds on the age of the try that is asked about.
pub const AGE_MS: &str = "x-ferryyoke-age-ms";
/// Between daemons: the rate limit of the backend server, see [`crate::requests::LimitHint`]. In an
/// answer the current one, in a request the last one that its sender heard of.
pub const BACKEND_LIMIT: &str = "x-ferryyoke-backend-limit";
/// On a refusal between daemons: set if the request reached a backend server, which rejected
/// it, or may have reached one.
pub const ARRIVED: &str = "x-ferryyoke-arrived";
/// Between daemons: credit for retries of the calls that the run makes, see
/// [`crate::requests::CallCredit`].
pub const CALL_CREDIT: &str = "x-ferryyoke-call-credit";
/// Between daemons: on an answer, the calls that the run made, see [`crate::requests::RunCalls`];
/// empty where it made none. Daemons of earlier versions send none where none was made.
pub const CALLS: &str = "x-ferryyoke-calls";
/// The service of the caller.
pub const CALLER_SERVICE: &str = "x-ferryyoke-caller-service";
/// Priority of a request among those for its service.
pub const PRIORITY: &str = "x-ferryyoke-priority";
/// Milliseconds within which the answer should arrive.
pub const DUE_MS: &str = "x-ferryyoke-due-ms";
/// Milliseconds for which the request may wait for a slot.
pub const PATIENCE_MS: &str = "x-ferryyoke-patience-ms";
/// Between daemons: milliseconds since the first try of the caller, if it came back.
pub const ELAPSED_MS: &str = "x-ferryyoke-elapsed-ms";
/// Between daemons: the expected run time, see [`crate::requests::RunEstimate`].
pub const ESTIMATE: &str = "x-ferryyoke-estimate";
/// Between daemons: set if a running request needs the request.
pub const IS_CALL: &str = "x-ferryyoke-is-call";
/// The caller's class, for fairness and histograms.
pub const CALLER_CLASS: &str = "x-ferryyoke-caller-class";
/// Depth of nested calls that led to the request.
pub const DEPTH: &str = "x-ferryyoke-depth";
/// Between daemons: the fingerprint of the request, see [`crate::values::Fingerprint`].
pub const FINGERPRINT: &str = "x-ferryyoke-fingerprint";
/// Idempotency key of a request that may run at most once.
pub const KEY: &str = "idempotency-key";
/// Between daemons: load and health of the backend server, see [`crate::requests::Condition`].
pub const CONDITION: &str = "x-ferryyoke-condition";
/// On a refusal between daemons: the box would accept the request if no other box does.
pub const DECLINED: &str = "x-ferryyoke-declined";
/// Between daemons: whether the request may queue, because no box could run it at once.
pub const INSISTS: &str = "x-ferryyoke-insists";
/// On a refusal: `not-run`, `running` or `unknown`.
pub const OUTCOME: &str = "x-ferryyoke-outcome";
/// On an answer: set if it is the recorded result of an earlier run with the same idempotency key.
pub const REPLAYED: &str = "x-ferryyoke-replayed";
/// Between daemons: whether the request may run more than once.
pub const REPEATABLE: &str = "x-ferryyoke-repeatable";
/// Between daemons: the route of the request, during a rollout of its service, perhaps shortened.
pub const ROUTE: &str = "x-ferryyoke-route";
/// On a refusal: milliseconds after which to retry.
pub const RETRY_AFTER_MS: &str = "x-ferryyoke-retry-after-ms";
/// Between daemons: the work of the run that an answer came from, in microseconds at the usual
/// backend server of its service.
pub const RUN_WORK_US: &str = "x-ferryyoke-run-work-us";
/// Between daemons: seal made with the fleet key, which proves that the sender is a daemon of the
/// fleet.
pub const SEAL: &str = "x-ferryyoke-seal";
/// Between daemons: the service that receives the request.
pub const SERVICE: &str = "x-ferryyoke-service";
/// Between daemons: the key of the try.
pub const TRY: &str = "x-ferryyoke-try";
/// The configuration version that routed the request.
pub const VERSION: &str = "x-ferryyoke-version";

/// Between daemons: number of an organisation's rate limit tokens that are requested; in the
/// answer, number of tokens granted.
pub const DRAW: &str = "x-ferryyoke-draw";

/// Prefix of the mesh's own headers.
const PREFIX: &str = "x-ferryyoke-";

/// Headers that apply to one connection only and are never forwarded.
const CONNECTION_HEADERS: [&str; 9] = [
  "connection",
  "expect",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "transfer-encoding",
  "upgrade",
];

/// Returns the value of a header as text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
  headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the parsed value of a header.
pub fn parsed<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
  text(headers, name).and_then(|value| value.parse().ok())
}

/// Sets a header. Does nothing if the value is not valid in a header.
pub fn set(headers: &mut HeaderMap, name: &'static str, value: impl Display) {
  if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
    headers.insert(HeaderName::from_static(name), value);
  }
}

/// Sets a header between daemons to a name, encoded.
pub fn set_name(headers: &mut HeaderMap, header: &'static str, name: &impl GivenName) {
  set(headers, header, name.encoded());
}

/// Returns the name that a header between daemons holds encoded.
pub fn name<T: GivenName>(headers: &HeaderMap, header: &str) -> Option<T> {
  text(headers, header).and_then(T::decoded)
}

/// Returns the name that a header between daemons holds encoded, and perhaps shortened: a shortened one stands for itself.
pub fn short_name<T: GivenName>(headers: &HeaderMap, header: &str) -> Option<T> {
  text(headers, header).map(|found| T::decoded(found).unwrap_or_else(|| T::from(found)))
}

/// Removes the headers that apply to one connection only, including those that `connection` names.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
  let named: Vec<HeaderName> = headers
    .get_all(http::header::CONNECTION)
    .iter()
    .filter_map(|value| value.to_str().ok())
    .flat_map(|value| value.split(','))
    .filter_map(|name| name.trim().parse().ok())
    .collect();
  for name in named {
    headers.remove(name);
  }
  for name in CONNECTION_HEADERS {
    headers.remove(name);
  }
}

/// Removes the caller's credentials and the header that names the organisation to backend servers,
/// which only the mesh may set.
pub fn remove_credentials(headers: &mut HeaderMap, organisation: Option<&HeaderName>) {
  headers.remove(http::header::AUTHORIZATION);
  if let Some(organisation) = organisation {
    headers.remove(organisation);
  }
}

/// Removes the mesh's own headers, so that no caller or backend server can forge them.
pub fn remove_mesh_headers(headers: &mut HeaderMap) {
  let mesh: Vec<HeaderName> =
    headers.keys().filter(|name| name.as_str().starts_with(PREFIX)).cloned().collect();
  for name in mesh {
    headers.remove(name);
  }
}
