//! The headers by which daemons, callers and backend servers speak about a request.

use super::*;

pub use crate::node::header_names::{ORGANISATION, REQUEST_ID, TIME_LEFT_MS};

/// Between daemons: bytes that the answer is expected to have.
pub const ANSWER_BYTES: &str = "x-ferryyoke-answer-bytes";
/// Between daemons: asks for the try of that key; in the answer, what is known of it.
pub const ARRIVAL: &str = "x-ferryyoke-arrival";
/// Milliseconds before which the try that is asked for was not sent.
pub const AGE_MS: &str = "x-ferryyoke-age-ms";
/// On a refusal between daemons: the request reached the backend server, which rejected it.
pub const ARRIVED: &str = "x-ferryyoke-arrived";
/// The service from which a request comes.
pub const CALLER_SERVICE: &str = "x-ferryyoke-caller-service";
/// The rank of a request among those for a service.
pub const PRIORITY: &str = "x-ferryyoke-priority";
/// Milliseconds after which the answer should be there.
pub const DUE_MS: &str = "x-ferryyoke-due-ms";
/// Milliseconds for which the request may wait for a slot.
pub const PATIENCE_MS: &str = "x-ferryyoke-patience-ms";
/// The caller's class, for fairness and histograms.
pub const CALLER_CLASS: &str = "x-ferryyoke-caller-class";
/// How many calls deep the request is.
pub const DEPTH: &str = "x-ferryyoke-depth";
/// Between daemons: the fingerprint of the request, see [`crate::values::Fingerprint`].
pub const FINGERPRINT: &str = "x-ferryyoke-fingerprint";
/// The key of a request that must run at most once.
pub const KEY: &str = "idempotency-key";
/// Between daemons: how the backend server does, see [`crate::requests::Condition`].
pub const CONDITION: &str = "x-ferryyoke-condition";
/// On a refusal between daemons: the box would take the request where nobody else does.
pub const DECLINED: &str = "x-ferryyoke-declined";
/// Between daemons: whether the request is sent to wait, for nobody else took it at once.
pub const INSISTS: &str = "x-ferryyoke-insists";
/// On a refusal: `not-run` or `unknown`.
pub const OUTCOME: &str = "x-ferryyoke-outcome";
/// On an answer: the recorded result of an earlier run under the same key.
pub const REPLAYED: &str = "x-ferryyoke-replayed";
/// Between daemons: whether the request may run more than once.
pub const REPEATABLE: &str = "x-ferryyoke-repeatable";
/// Between daemons: the route of the request, while a roll-out of its service goes on.
pub const ROUTE: &str = "x-ferryyoke-route";
/// On a refusal: milliseconds after which to come back.
pub const RETRY_AFTER_MS: &str = "x-ferryyoke-retry-after-ms";
/// Between daemons: proves that a daemon of the fleet forwarded the request.
pub const SEAL: &str = "x-ferryyoke-seal";
/// Between daemons: the service that the request is for.
pub const SERVICE: &str = "x-ferryyoke-service";
/// Between daemons: the key of the try.
pub const TRY: &str = "x-ferryyoke-try";
/// The configuration version that routed the request.
pub const VERSION: &str = "x-ferryyoke-version";

/// Between daemons: tokens of an organisation that are asked for; in the answer, how many are given.
pub const DRAW: &str = "x-ferryyoke-draw";

/// The prefix of all headers that belong to the mesh.
const PREFIX: &str = "x-ferryyoke-";

/// Headers that speak about one connection only, and are never passed on.
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

/// The value of a header as text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
  headers.get(name).and_then(|value| value.to_str().ok())
}

/// The value of a header, read as its type.
pub fn parsed<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
  text(headers, name).and_then(|value| value.parse().ok())
}

/// Sets a header to a value of our own making.
pub fn set(headers: &mut HeaderMap, name: &'static str, value: impl Display) {
  if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
    headers.insert(HeaderName::from_static(name), value);
  }
}

/// Removes the headers that speak about one connection only, those that `connection` names too.
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

/// Removes what proves a caller's organisation, and the header that tells it to backend servers: nobody else sets it.
pub fn remove_proof(headers: &mut HeaderMap, organisation: Option<&HeaderName>) {
  headers.remove(http::header::AUTHORIZATION);
  if let Some(organisation) = organisation {
    headers.remove(organisation);
  }
}

/// Removes the headers that belong to the mesh, so that nobody else speaks in its name.
pub fn remove_mesh_headers(headers: &mut HeaderMap) {
  let mesh: Vec<HeaderName> =
    headers.keys().filter(|name| name.as_str().starts_with(PREFIX)).cloned().collect();
  for name in mesh {
    headers.remove(name);
  }
}
