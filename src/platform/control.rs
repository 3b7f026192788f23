//! The HTTP endpoints for the platform's readiness check and the local backend server's reports.

use super::*;

use crate::values::percent_decoded;

use std::num::NonZeroU32;

/// The platform's maximum size of a backend server's report, in bytes.
const REPORT_BYTES_MAX: usize = 4_096;

/// Longest time in milliseconds for a report to come. Its sender waits for a second.
const REPORT_TIMEOUT_MS: u64 = 5_000;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Info {
  service: ServiceName,
  slots: NonZeroU32,
  /// The version of the backend server's software.
  #[serde(default, deserialize_with = "software")]
  version: Option<SoftwareVersion>,
}

/// Reads a version of software: a text, or another value as it is written.
fn software<'de, D: serde::Deserializer<'de>>(
  deserializer: D,
) -> Result<Option<SoftwareVersion>, D::Error> {
  Ok(match serde_json::Value::deserialize(deserializer)? {
    serde_json::Value::Null => None,
    serde_json::Value::String(version) => version.parse().ok(),
    other => other.to_string().parse().ok(),
  })
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Status {
  /// The sequence number of the report within its process.
  call_seq: u64,
  #[serde(deserialize_with = "duration_ms")]
  cold_left: u64,
  state: ReportedState,
}

#[derive(Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
enum ReportedState {
  Draining,
  Ready,
}

/// Answers the platform's readiness check.
pub async fn serve_readiness<B>(node: Rc<Node>, request: Request<B>) -> Response<AnyBody> {
  if request.uri().path() != "/ferryyoke/ready" {
    return web::text(StatusCode::NOT_FOUND, "give GET /ferryyoke/ready");
  }
  match node.shared.not_ready_reason() {
    None => web::text(StatusCode::OK, "ready"),
    Some(reason) => web::text(StatusCode::SERVICE_UNAVAILABLE, reason),
  }
}

/// Handles the heartbeats and deregistrations of the backend server.
pub async fn serve_control(node: Rc<Node>, request: Request<Incoming>) -> Response<AnyBody> {
  let path = request.uri().path().to_string();
  let Some(call) = path.strip_prefix("/ferryyoke/instances/") else {
    return web::text(StatusCode::NOT_FOUND, "give POST /ferryyoke/instances/ID/heartbeat");
  };
  let Some((Ok(id), call)) = call.rsplit_once('/').map(|(id, call)| (read_id(id), call)) else {
    return web::text(StatusCode::BAD_REQUEST, "the path lacks an instance or a call");
  };
  let whole = request.into_body().whole(REPORT_BYTES_MAX);
  let body = match timer::timeout(Duration::from_millis(REPORT_TIMEOUT_MS), whole).await {
    Ok(Ok(body)) => body,
    Ok(Err(err)) => return web::text(StatusCode::BAD_REQUEST, err.to_string()),
    Err(_) => return web::text(StatusCode::REQUEST_TIMEOUT, "the report did not come in time"),
  };
  let result = match call {
    "heartbeat" => heartbeat(&node, id, &body),
    "deregister" => deregister(&node, id, &body),
    _ => return web::text(StatusCode::NOT_FOUND, "give heartbeat or deregister"),
  };
  match result {
    Ok(()) => web::json(StatusCode::OK, &serde_json::json!({})),
    Err(reason) => {
      node.shared.note_foreign_report(call, &reason);
      web::text(StatusCode::BAD_REQUEST, reason)
    }
  }
}

/// Reads the id of a process from a segment of a path. An id that isn't encoded stands for itself.
fn read_id(segment: &str) -> crate::values::Result<InstanceId> {
  percent_decoded(segment).as_deref().unwrap_or(segment).parse()
}

fn heartbeat(node: &Node, id: InstanceId, body: &[u8]) -> Result<(), String> {
  let fields = Fields::of(text(body)?)?;
  let (info, status): (Info, Status) = (fields.get("Info")?, fields.get("Status")?);
  let outcome = node.backend_reported(&BackendReport {
    cold_left_ms: status.cold_left,
    leaving: status.state == ReportedState::Draining,
    process: Process { started_at: started_at(&fields)?, id },
    sequence: status.call_seq,
    service: info.service,
    slots: info.slots.get(),
    software: info.version,
  });
  match outcome {
    ReportOutcome::Rejected(reason) => Err(reason.into()),
    ReportOutcome::Stale | ReportOutcome::Accepted => Ok(()),
  }
}

/// Handles a deregistration. Some processes send no body; then only the id identifies the process.
fn deregister(node: &Node, id: InstanceId, body: &[u8]) -> Result<(), String> {
  let started_at = if body.is_empty() { None } else { started_at(&Fields::of(text(body)?)?)? };
  node.backend_deregistered(&Process { id, started_at });
  Ok(())
}

/// Reads the start time of a process, a top-level field of every call.
fn started_at(fields: &Fields) -> Result<Option<StartTime>, String> {
  Ok(fields.find("born")?.map(StartTime))
}

fn text(body: &[u8]) -> Result<&str, String> {
  std::str::from_utf8(body).map_err(|err| err.to_string())
}
