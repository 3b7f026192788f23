//! The calls that come to a daemon from the platform and from the backend server beside it.

use super::*;

use std::num::NonZeroU32;

/// Largest report of a backend server in bytes, as the platform bounds it.
const REPORT_BYTES_MAX: usize = 4_096;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Info {
  service: ServiceName,
  slots: NonZeroU32,
  /// The version of its software.
  #[serde(default)]
  version: Option<SoftwareVersion>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Status {
  /// Orders the reports of one process.
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

/// Tells the platform whether the daemon takes callers.
pub async fn serve_readiness<B>(node: Rc<Node>, request: Request<B>) -> Response<AnyBody> {
  if request.uri().path() != "/ferryyoke/ready" {
    return web::text(StatusCode::NOT_FOUND, "give GET /ferryyoke/ready");
  }
  match node.shared.not_ready_reason() {
    None => web::text(StatusCode::OK, "ready"),
    Some(reason) => web::text(StatusCode::SERVICE_UNAVAILABLE, reason),
  }
}

/// Takes the reports of the backend server.
pub async fn serve_control(node: Rc<Node>, request: Request<Incoming>) -> Response<AnyBody> {
  let path = request.uri().path().to_string();
  let Some(call) = path.strip_prefix("/ferryyoke/instances/") else {
    return web::text(StatusCode::NOT_FOUND, "give POST /ferryyoke/instances/ID/heartbeat");
  };
  let Some((Ok(id), call)) = call.split_once('/').map(|(id, call)| (id.parse(), call)) else {
    return web::text(StatusCode::BAD_REQUEST, "the path lacks an instance or a call");
  };
  let body = match web::collect(request.into_body(), REPORT_BYTES_MAX).await {
    Ok(body) => body,
    Err(err) => return web::text(StatusCode::BAD_REQUEST, err.to_string()),
  };
  let said = match call {
    "heartbeat" => heartbeat(&node, id, &body),
    "deregister" => deregister(&node, id, &body),
    _ => return web::text(StatusCode::NOT_FOUND, "give heartbeat or deregister"),
  };
  match said {
    Ok(()) => web::json(StatusCode::OK, &serde_json::json!({})),
    Err(reason) => {
      node.shared.note_foreign_report(call, &reason);
      web::text(StatusCode::BAD_REQUEST, reason)
    }
  }
}

fn heartbeat(node: &Node, id: InstanceId, body: &[u8]) -> Result<(), String> {
  let fields = Fields::of(text(body)?)?;
  let (info, status): (Info, Status) = (fields.get("Info")?, fields.get("Status")?);
  let heard = node.backend_reported(&BackendReport {
    cold_left_ms: status.cold_left,
    leaving: status.state == ReportedState::Draining,
    process: Process { started_at: born(&fields)?, id },
    sequence: status.call_seq,
    service: info.service,
    slots: info.slots.get(),
    software: info.version,
  });
  match heard {
    ReportOutcome::Rejected(reason) => Err(reason.into()),
    ReportOutcome::Stale | ReportOutcome::Accepted => Ok(()),
  }
}

/// Some processes say nothing of themselves as they go: then it is the one that bears the id.
fn deregister(node: &Node, id: InstanceId, body: &[u8]) -> Result<(), String> {
  let born = if body.is_empty() { None } else { born(&Fields::of(text(body)?)?)? };
  node.backend_deregistered(&Process { started_at: born, id });
  Ok(())
}

/// When a process started, as it says at the top level of whatever it says.
fn born(fields: &Fields) -> Result<Option<StartTime>, String> {
  Ok(fields.find("born")?.map(StartTime))
}

fn text(body: &[u8]) -> Result<&str, String> {
  std::str::from_utf8(body).map_err(|err| err.to_string())
}
