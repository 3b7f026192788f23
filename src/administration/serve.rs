//! The HTTP side of the administration API.

use super::*;

/// Statements that may be at work at once.
const AT_WORK_MAX: usize = 32;

/// Serves one call.
pub async fn serve(daemon: Rc<Daemon>, request: Request<Incoming>) -> Response<AnyBody> {
  match (request.method(), request.uri().path()) {
    (&Method::GET, "/healthz") => web::text(StatusCode::OK, "live"),
    (&Method::GET, "/metrics") => web::text(StatusCode::OK, daemon.shared.metrics.encode()),
    (&Method::GET, "/readyz") => ready(&daemon),
    (&Method::POST, "/v1/statements") => statements(&daemon, request).await,
    _ => web::text(
      StatusCode::NOT_FOUND,
      "give GET /healthz, GET /metrics, GET /readyz or POST /v1/statements",
    ),
  }
}

fn ready(daemon: &Daemon) -> Response<AnyBody> {
  if daemon.shared.is_stopping() {
    return web::text(StatusCode::SERVICE_UNAVAILABLE, "stopping");
  }
  if daemon.shared.configuration().is_none() {
    return web::text(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet");
  }
  web::text(StatusCode::OK, "ready")
}

async fn statements(daemon: &Rc<Daemon>, request: Request<Incoming>) -> Response<AnyBody> {
  let answer = match AtWork::start(daemon) {
    Some(_at_work) => answer(daemon, request).await,
    None => Err(Error::Busy),
  };
  match answer {
    Ok(answer) => web::json(StatusCode::OK, &answer),
    Err(err) => {
      let refused = Answer { outcome: AnswerOutcome::Refused, ..Answer::done(err.to_string()) };
      web::json(err.status(), &refused)
    }
  }
}

async fn answer(daemon: &Rc<Daemon>, request: Request<Incoming>) -> Result<Answer> {
  let (head, body) = request.into_parts();
  let bearer = Bearer::of(&daemon.shared, &head.headers)?;
  let body = web::collect(body, 2 * language::SCRIPT_BYTES_MAX).await;
  let body = body.map_err(|err| Error::Call { reason: err.to_string() })?;
  let request: StatementRequest =
    serde_json::from_slice(&body).map_err(|err| Error::Call { reason: err.to_string() })?;
  let script: Script = request.text.parse()?;
  match &script.statements[..] {
    [Statement::Ask(question)] => questions::answer(daemon, question).await,
    [Statement::RestoreStore] => {
      bearer.check(Role::Administrator, "restore the store")?;
      changes::restore_store(daemon).await
    }
    [Statement::SetLogLevel(level)] => {
      bearer.check(Role::Administrator, "set the log level")?;
      daemon.shared.log.set_level(*level);
      Ok(Answer::done(format!("the log level is {level}")))
    }
    _ => {
      bearer.check(Role::Editor, "change the configuration")?;
      changes::make(daemon, &bearer, &script, request).await
    }
  }
}

/// A place among the statements at work, given back when dropped.
struct AtWork(Rc<Daemon>);

impl AtWork {
  fn start(daemon: &Rc<Daemon>) -> Option<Self> {
    let at_work = &daemon.shared.statements_at_work;
    if at_work.get() >= AT_WORK_MAX {
      return None;
    }
    at_work.set(at_work.get() + 1);
    Some(Self(daemon.clone()))
  }
}

impl Drop for AtWork {
  fn drop(&mut self) {
    let at_work = &self.0.shared.statements_at_work;
    at_work.set(at_work.get() - 1);
  }
}
