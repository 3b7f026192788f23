//! The HTTP side of the administration API.

use super::*;

/// Limit on statements that run at once.
const RUNNING_MAX: usize = 32;

/// Longest time in milliseconds for the body of a request to come.
const BODY_TIMEOUT_MS: u64 = 10_000;

/// Serves an HTTP request of the administration API.
pub async fn serve(node: Rc<Node>, request: Request<Incoming>) -> Response<AnyBody> {
  match (request.method(), request.uri().path()) {
    (&Method::GET, "/healthz") => web::text(StatusCode::OK, "live"),
    (&Method::GET, "/metrics") => web::text(StatusCode::OK, node.shared.metrics.encode()),
    (&Method::GET, "/readyz") => ready(&node),
    (&Method::POST, "/v1/statements") => statements(&node, request).await,
    _ => web::text(
      StatusCode::NOT_FOUND,
      "give GET /healthz, GET /metrics, GET /readyz or POST /v1/statements",
    ),
  }
}

fn ready(node: &Node) -> Response<AnyBody> {
  if node.shared.is_stopping() {
    return web::text(StatusCode::SERVICE_UNAVAILABLE, "stopping");
  }
  if node.shared.configuration().is_none() {
    return web::text(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet");
  }
  web::text(StatusCode::OK, "ready")
}

async fn statements(node: &Rc<Node>, request: Request<Incoming>) -> Response<AnyBody> {
  match answer(node, request).await {
    Ok(answer) => web::json(StatusCode::OK, &answer),
    Err(err) => {
      let refused = Answer { outcome: AnswerOutcome::Refused, ..Answer::done(err.to_string()) };
      web::json(err.status(), &refused)
    }
  }
}

async fn answer(node: &Rc<Node>, request: Request<Incoming>) -> Result<Answer> {
  let (head, body) = request.into_parts();
  let principal = Principal::authenticate(&node.shared, &head.headers)?;
  let body = read_body(body).await?;
  // Counted only now, so that requests whose body does not come keep no others from running.
  let _running = RunningStatement::start(node).ok_or(Error::Busy)?;
  let request: StatementRequest = serde_json::from_slice(&body)
    .map_err(|err| Error::MalformedRequest { reason: err.to_string() })?;
  let script: Script = request.text.parse()?;
  match &script.statements[..] {
    [Statement::Ask(question)] => questions::answer(node, question).await,
    [Statement::AllowRequest(fingerprint)] => {
      principal.check(Role::Editor, "allow a request that is held back")?;
      node.shared.allow_request(*fingerprint);
      Ok(Answer::done(format!("the fleet is told that request {fingerprint} may run")))
    }
    [Statement::RestoreStore] => {
      principal.check(Role::Administrator, "restore the store")?;
      changes::restore_store(node).await
    }
    [Statement::SetLogLevel(level)] => {
      principal.check(Role::Administrator, "set the log level")?;
      node.shared.log.set_level(*level);
      Ok(Answer::done(format!("the log level is {level}")))
    }
    _ => {
      principal.check(Role::Editor, "change the configuration")?;
      changes::apply(node, &principal, &script, request).await
    }
  }
}

/// Reads the body of a request, within the time that an operator's tool takes at most.
async fn read_body(body: Incoming) -> Result<Bytes> {
  let whole = body.whole(2 * language::SCRIPT_BYTES_MAX);
  let read = timer::timeout(Duration::from_millis(BODY_TIMEOUT_MS), whole).await;
  let timed_out = || format!("the body was not whole after {BODY_TIMEOUT_MS} ms");
  let read = read.map_err(|_| timed_out()).and_then(|read| read.map_err(|err| err.to_string()));
  read.map_err(|reason| Error::MalformedRequest { reason })
}

/// Counts a running statement until it is dropped.
struct RunningStatement(Rc<Node>);

impl RunningStatement {
  fn start(node: &Rc<Node>) -> Option<Self> {
    let running = &node.shared.running_statements;
    if running.get() >= RUNNING_MAX {
      return None;
    }
    running.set(running.get() + 1);
    Some(Self(node.clone()))
  }
}

impl Drop for RunningStatement {
  fn drop(&mut self) {
    let running = &self.0.shared.running_statements;
    running.set(running.get() - 1);
  }
}
