use super::*;

use super::arrivals::{self, QueryResult};

use futures_util::{Stream, stream::FuturesUnordered};

/// The tries of one request: those in flight and the answers of those that ended.
#[derive(Default)]
pub struct Tries {
  /// Answers of which one may be returned to the caller.
  answers: Vec<(TryId, Response<AnyBody>)>,
  /// Queries to boxes whether a try arrived there.
  queries: FuturesUnordered<PendingQuery>,
  running: FuturesUnordered<RunningTry>,
}

/// A pending query about a try.
type PendingQuery = Pin<Box<dyn Future<Output = (TryId, QueryResult)>>>;

/// An event of the tries of a request.
enum TryEvent {
  /// A query about a try ended.
  QueryEnded(TryId, QueryResult),
  /// A try ended.
  TryEnded(EndedTry),
  /// No try or query is in flight.
  Idle,
}

impl Tries {
  /// Starts a try.
  pub fn start(
    &mut self,
    shared: &Rc<Shared>,
    forwarded: &ForwardedRequest,
    body: RequestBody,
    order: TryOrder,
  ) {
    let key = TryKey(shared.make_seed());
    let order = Rc::new(order);
    let (running_shared, forwarded) = (shared.clone(), forwarded.for_try(&order));
    let ordered = order.clone();
    let running =
      Box::pin(
        async move { forward::attempt(&running_shared, &forwarded, body, &ordered, key).await },
      );
    let (shared, started_us) = (shared.clone(), shared.elapsed_us());
    self.running.push(RunningTry { key, order, running, shared, started_us });
  }

  /// Asks the box of a try whether it arrived there.
  pub fn ask(&mut self, shared: &Rc<Shared>, id: TryId) {
    let Some(asked) = self.running.iter().find(|one| one.order.id == id) else {
      return;
    };
    let (key, order) = (asked.key, asked.order.clone());
    let shared = shared.clone();
    let age_ms = (shared.elapsed_us() - asked.started_us).div_ceil(1_000);
    self
      .queries
      .push(Box::pin(async move { (id, arrivals::ask(&shared, &order, key, age_ms).await) }));
  }

  /// Waits until a try or query ends, or until `wake_at`. Records a try that ended in `attempts`.
  pub async fn next(
    &mut self,
    shared: &Shared,
    wake_at: Option<Time>,
    body: &RequestBody,
    attempts: &mut Vec<Attempt>,
  ) -> DispatchEvent {
    let event = match wake_at {
      Some(wake_at) => {
        let pause = Duration::from_millis(wake_at.since_ms(shared.now().time));
        timer::timeout(pause, self.next_event()).await
      }
      None => Ok(self.next_event().await),
    };
    match event {
      Ok(TryEvent::QueryEnded(id, found)) => self.query_ended(id, found, body, attempts),
      Ok(TryEvent::TryEnded(ended)) => self.try_ended(ended, body, attempts),
      // `Dispatch` decides to wait only while a try is in flight, so `Idle` is not expected.
      Ok(TryEvent::Idle) | Err(_) => DispatchEvent::Woken,
    }
  }

  fn next_event(&mut self) -> impl Future<Output = TryEvent> {
    std::future::poll_fn(|context| {
      if let Poll::Ready(Some(ended)) = Pin::new(&mut self.running).poll_next(context) {
        return Poll::Ready(TryEvent::TryEnded(ended));
      }
      if let Poll::Ready(Some((id, found))) = Pin::new(&mut self.queries).poll_next(context) {
        return Poll::Ready(TryEvent::QueryEnded(id, found));
      }
      let is_idle = self.running.is_empty() && self.queries.is_empty();
      if is_idle { Poll::Ready(TryEvent::Idle) } else { Poll::Pending }
    })
  }

  fn try_ended(
    &mut self,
    ended: EndedTry,
    body: &RequestBody,
    attempts: &mut Vec<Attempt>,
  ) -> DispatchEvent {
    let (id, outcome) = (ended.id, ended.attempt.outcome.clone());
    attempts.push(ended.attempt);
    if let Ok(answer) = ended.result {
      self.answers.push((id, answer));
    }
    DispatchEvent::Ended { body_resendable: body.is_available(), id, outcome }
  }

  /// Handles the result of a query about a try that is still in flight.
  fn query_ended(
    &mut self,
    id: TryId,
    found: QueryResult,
    body: &RequestBody,
    attempts: &mut Vec<Attempt>,
  ) -> DispatchEvent {
    match found {
      QueryResult::Answered(result) => self.answered_by_query(id, result, body, attempts),
      QueryResult::Ended => self.overdue(id),
      QueryResult::NeverArrived => self.never_arrived(id, body, attempts),
      QueryResult::StillPending => DispatchEvent::StillPending { id },
    }
  }

  /// Ends a try with the answer that the query returned, and abandons the try's own connection.
  fn answered_by_query(
    &mut self,
    id: TryId,
    result: AttemptResult,
    body: &RequestBody,
    attempts: &mut Vec<Attempt>,
  ) -> DispatchEvent {
    let Some(asked) = self.take(id) else {
      return DispatchEvent::StillPending { id };
    };
    asked.log("the answer of a try did not arrive, and a query returned it");
    let ended = asked.end_with(result);
    self.try_ended(ended, body, attempts)
  }

  /// Ends a try that its box rejects from now on: it has not run and never will.
  fn never_arrived(
    &mut self,
    id: TryId,
    body: &RequestBody,
    attempts: &mut Vec<Attempt>,
  ) -> DispatchEvent {
    let Some(asked) = self.take(id) else {
      return DispatchEvent::StillPending { id };
    };
    asked.log("a try never arrived: its connection was dead");
    let reason = "it never arrived: the connection to the box was dead";
    attempts.push(asked.attempt(AttemptOutcome::not_run(reason, 0)));
    // Dropping the try returns its unread body before the body is checked below.
    drop(asked);
    DispatchEvent::NeverArrived { body_resendable: body.is_available(), id }
  }

  /// Reports a try whose box already sent the answer, which has not arrived.
  fn overdue(&self, id: TryId) -> DispatchEvent {
    if let Some(overdue) = self.running.iter().find(|one| one.order.id == id) {
      overdue.log("the answer of a try was already sent, and has not arrived");
    }
    DispatchEvent::Overdue { id }
  }

  /// Removes a try from those in flight.
  fn take(&mut self, id: TryId) -> Option<RunningTry> {
    let (taken, others): (Vec<RunningTry>, Vec<RunningTry>) =
      std::mem::take(&mut self.running).into_iter().partition(|one| one.order.id == id);
    self.running = others.into_iter().collect();
    taken.into_iter().next()
  }

  /// Returns the answer of a try. Records the tries that are abandoned for it in `attempts`.
  pub fn finish(mut self, id: TryId, attempts: &mut Vec<Attempt>) -> AttemptResult {
    attempts.extend(self.running.iter().map(RunningTry::abandoned));
    let index = self.answers.iter().position(|(own, _)| *own == id);
    let lost = || AttemptOutcome::Unknown { reason: "the answer was lost on the way".into() };
    index.map(|index| self.answers.swap_remove(index).1).ok_or_else(lost)
  }
}

/// A try in flight at one backend server.
struct RunningTry {
  key: TryKey,
  order: Rc<TryOrder>,
  running: Pin<Box<dyn Future<Output = AttemptResult>>>,
  shared: Rc<Shared>,
  started_us: u64,
}

/// A try that ended.
struct EndedTry {
  attempt: Attempt,
  id: TryId,
  result: AttemptResult,
}

impl RunningTry {
  /// Logs what a query revealed about the try.
  fn log(&self, what: &'static str) {
    info!(
      self.shared.log.logger, #Log::REQUEST, "{}", what;
      "try" => self.key.0, "box" => %self.order.endpoint.peer.box_id,
      "age_ms" => (self.shared.elapsed_us() - self.started_us) / 1_000
    );
  }

  /// Returns the record of a try that is abandoned because another one answered first.
  fn abandoned(&self) -> Attempt {
    let reason = "another try answered first".into();
    self.attempt(AttemptOutcome::Unknown { reason })
  }

  fn attempt(&self, outcome: AttemptOutcome) -> Attempt {
    Attempt {
      box_id: self.order.endpoint.peer.box_id.clone(),
      outcome,
      took_us: self.shared.elapsed_us() - self.started_us,
      verdicts: self.order.verdicts.clone(),
    }
  }

  fn end_with(&self, result: AttemptResult) -> EndedTry {
    let known = match &result {
      Ok(response) => AttemptOutcome::Answered { status: response.status().as_u16() },
      Err(outcome) => outcome.clone(),
    };
    EndedTry { attempt: self.attempt(known), id: self.order.id, result }
  }
}

impl Future for RunningTry {
  type Output = EndedTry;

  fn poll(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<EndedTry> {
    let Poll::Ready(result) = self.running.as_mut().poll(context) else {
      return Poll::Pending;
    };
    Poll::Ready(self.end_with(result))
  }
}
