//! The calls that come to a daemon from the platform and from the backend server beside it.

use super::*;

/// Largest report of a backend server in bytes, as the platform bounds it.
const REPORT_BYTES_MAX: usize = 4_096;

/// A backend server's report.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Heartbeat {
  info: Info,
  status: Status,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Info {
  service: ServiceName,
  slots: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Status {
  /// Orders the reports of one process.
  call_seq: u64,
  #[serde(deserialize_with = "duration_ms")]
  cold_left: u64,
  /// `ready` or `draining`.
  state: String,
}

/// Tells the platform whether the daemon takes callers.
pub async fn serve_readiness<B>(node: Rc<Node>, request: Request<B>) -> Response<AnyBody> {
  if request.uri().path() != "/ferryyoke/ready" {
    return web::text(StatusCode::NOT_FOUND, "give GET /ferryyoke/ready");
  }
  match node.shared.why_not_ready() {
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
  let Some((Ok(instance), call)) = call.split_once('/').map(|(id, call)| (id.parse(), call)) else {
    return web::text(StatusCode::BAD_REQUEST, "the path lacks an instance or a call");
  };
  match call {
    "heartbeat" => heartbeat(&node, instance, request).await,
    "deregister" => {
      node.backend_deregistered(&instance);
      web::text(StatusCode::OK, "{}")
    }
    _ => web::text(StatusCode::NOT_FOUND, "give heartbeat or deregister"),
  }
}

async fn heartbeat(
  node: &Node,
  instance: InstanceId,
  request: Request<Incoming>,
) -> Response<AnyBody> {
  let body = match web::collect(request.into_body(), REPORT_BYTES_MAX).await {
    Ok(body) => body,
    Err(err) => return web::text(StatusCode::BAD_REQUEST, err.to_string()),
  };
  let read: Heartbeat = match serde_json::from_slice(&body) {
    Ok(read) => read,
    Err(err) => return web::text(StatusCode::BAD_REQUEST, err.to_string()),
  };
  node.backend_reported(&BackendReport {
    cold_left_ms: read.status.cold_left,
    instance,
    leaving: read.status.state != "ready",
    sequence: read.status.call_seq,
    service: read.info.service,
    slots: read.info.slots,
  });
  web::json(StatusCode::OK, &serde_json::json!({}))
}
