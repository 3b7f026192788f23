//! Health checks of the backend server beside the daemon.

use super::*;

/// Milliseconds between two health checks.
const PERIOD_MS: u64 = 500;

/// Timeout of a health check in milliseconds.
const TIMEOUT_MS: u64 = 1_000;

/// Health checks that must fail in a row before the backend server counts as unhealthy.
const FAILURES_MAX: u32 = 2;

/// Largest body of a health endpoint's answer in bytes.
const BODY_BYTES_MAX: usize = 65_536;

/// Checks the backend server's health periodically and announces its state, as long as the daemon runs.
pub async fn watch(shared: Rc<Shared>, distribution: Rc<DistributionLoop>) {
  let mut failures = 0;
  loop {
    let state = if let Some(state) = check_health(&shared).await {
      failures = 0;
      Some(state)
    } else {
      failures += 1;
      (failures >= FAILURES_MAX).then_some(EndpointState::Draining)
    };
    if let Some(state) = state.filter(|_| !shared.is_stopping()) {
      distribution.handle(Event::EndpointState(state));
    }
    timer::sleep(Duration::from_millis(PERIOD_MS)).await;
  }
}

/// Asks the health endpoint. Returns `None` if it does not answer in time.
async fn check_health(shared: &Shared) -> Option<EndpointState> {
  let backend_server = &shared.settings.backend_server;
  let request = Request::get(backend_server.health_path.as_str())
    .header(http::header::HOST, backend_server.address.to_string())
    .body(web::empty())
    .ok()?;
  let exchange = shared.backend_pool.exchange(backend_server.address, request, BODY_BYTES_MAX);
  let limited = timer::timeout(Duration::from_millis(TIMEOUT_MS), exchange);
  let (status, _) = limited.await.ok()?.ok()?;
  Some(if status.is_success() { EndpointState::Live } else { EndpointState::Draining })
}

/// Milliseconds between two attempts to identify the process of a backend server that reports its state
/// itself.
const IDENTIFY_PERIOD_MS: u64 = 250;

/// Milliseconds between two looks at the address after which another process may have taken it over unseen. An address
/// that is reused is free for longer before.
const UNWATCHED_MAX_MS: u64 = 2_000;

/// Identifies the running process of the backend server by a health check while its reports leave that
/// open, so that a restarted daemon need not wait for the next report.
pub async fn identify_instance(node: Rc<Node>) {
  let shared = &node.shared;
  let mut looked_at = shared.now().time;
  loop {
    if shared.now().time.since_ms(looked_at) > UNWATCHED_MAX_MS {
      shared.backend.borrow_mut().found_absent();
    }
    looked_at = shared.now().time;
    let needs_check = shared.backend.borrow().needs_health_check();
    if needs_check {
      identify(&node).await;
    }
    timer::sleep(Duration::from_millis(IDENTIFY_PERIOD_MS)).await;
  }
}

/// Connects to the backend server, and asks its health endpoint where the configuration names one.
async fn identify(node: &Node) {
  let shared = &node.shared;
  let address = shared.settings.backend_server.address;
  match shared.backend_pool.checkout(address).await {
    Ok(client) => {
      if let Some(found) = query_instance(shared, client).await {
        node.backend_health_checked(&found.instance, found.cold_ms);
        shared.health_named_limit(found.notices);
      }
    }
    Err(err) => {
      shared.backend.borrow_mut().found_absent();
      let is_refused = matches!(err, web::Error::Unreachable { refused: true, .. });
      if is_refused && shared.backend_state() == BackendState::Ready {
        shared.backend_unreachable("its address refuses connections");
      }
    }
  }
}

/// What the health endpoint of a backend server tells of its process.
struct FoundInstance {
  /// Milliseconds for which it stays cold, if it says so.
  cold_ms: Option<u64>,
  instance: InstanceId,
  notices: BackendNotices,
}

/// Returns what the health endpoint tells if it answers with success.
async fn query_instance(shared: &Shared, client: web::Client) -> Option<FoundInstance> {
  let configuration = shared.configuration()?;
  let candidate = shared.backend.borrow().candidate_service().cloned();
  let service = candidate.unwrap_or_else(|| shared.present_service());
  let path = configuration.services.get(&service)?.value.health_path.clone()?;
  let address = shared.settings.backend_server.address;
  let request =
    Request::get(path).header(http::header::HOST, address.to_string()).body(web::empty()).ok()?;
  let exchange = shared.backend_pool.exchange_on(client, request, BODY_BYTES_MAX);
  let limited = timer::timeout(Duration::from_millis(TIMEOUT_MS), exchange);
  let (head, _) = limited.await.ok()?.ok()?;
  let name = shared.header_names.instance.as_ref()?;
  let instance = std::str::from_utf8(head.headers.get(name)?.as_bytes()).ok()?.parse().ok()?;
  let cold_ms = shared.header_names.cold_ms.as_ref().and_then(|name| head.headers.get(name));
  let cold_ms = cold_ms.and_then(|value| value.to_str().ok()?.parse().ok());
  let notices = BackendNotices::read(&shared.header_names, &head.headers);
  head.status.is_success().then_some(FoundInstance { cold_ms, instance, notices })
}
