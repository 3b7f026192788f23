use super::*;

use futures_util::stream::FuturesUnordered;

/// The tries of one request: those under way, and the answers of those that ended.
#[derive(Default)]
pub struct Tries {
  /// Answers that may still become the caller's.
  answers: Vec<(TryId, Response<AnyBody>)>,
  running: FuturesUnordered<Try>,
}

impl Tries {
  /// Starts a try.
  pub fn start(
    &mut self,
    shared: &Rc<Shared>,
    forwarded: &Forwarded,
    body: RequestBody,
    order: TryOrder,
  ) {
    let (box_id, id) = (order.endpoint.peer.box_id.clone(), order.id);
    let verdicts = order.verdicts.clone();
    let (running_shared, forwarded) = (shared.clone(), forwarded.insisting(order.insists));
    let running =
      Box::pin(async move { forward::attempt(&running_shared, &forwarded, body, &order).await });
    let (shared, started_us) = (shared.clone(), shared.elapsed_us());
    self.running.push(Try { box_id, id, running, shared, started_us, verdicts });
  }

  /// Waits until a try ends or the decision wants to be woken. Notes a try that ended.
  pub async fn next(
    &mut self,
    shared: &Shared,
    wake_at: Option<Time>,
    body: &RequestBody,
    attempts: &mut Vec<Attempt>,
  ) -> DispatchEvent {
    let ended = match wake_at {
      Some(wake_at) => {
        let pause = Duration::from_millis(wake_at.since_ms(shared.now().time));
        monoio::time::timeout(pause, self.running.next()).await
      }
      None => Ok(self.running.next().await),
    };
    // A decision to wait is made only while a try is under way.
    let Ok(Some(ended)) = ended else {
      return DispatchEvent::Woken;
    };
    let (id, outcome) = (ended.id, ended.attempt.outcome.clone());
    attempts.push(ended.attempt);
    if let Ok(answer) = ended.result {
      self.answers.push((id, answer));
    }
    DispatchEvent::Ended { body_left: body.is_left(), id, outcome }
  }

  /// The answer of a try. Notes those that are given up for it.
  pub fn finish(mut self, id: TryId, attempts: &mut Vec<Attempt>) -> AttemptResult {
    attempts.extend(self.running.iter().map(Try::given_up));
    let index = self.answers.iter().position(|(own, _)| *own == id);
    let lost = || AttemptOutcome::Unknown { reason: "the answer was lost on the way".into() };
    index.map(|index| self.answers.swap_remove(index).1).ok_or_else(lost)
  }
}

/// One try at one backend server, under way.
struct Try {
  box_id: BoxId,
  id: TryId,
  running: Pin<Box<dyn Future<Output = AttemptResult>>>,
  shared: Rc<Shared>,
  started_us: u64,
  verdicts: Vec<(BoxId, Verdict)>,
}

/// A try that ended.
struct EndedTry {
  attempt: Attempt,
  id: TryId,
  result: AttemptResult,
}

impl Try {
  /// What is known of a try that is given up, for another one answered first.
  fn given_up(&self) -> Attempt {
    let reason = "another try answered first".into();
    self.attempt(AttemptOutcome::Unknown { reason })
  }

  fn attempt(&self, outcome: AttemptOutcome) -> Attempt {
    Attempt {
      box_id: self.box_id.clone(),
      outcome,
      took_us: self.shared.elapsed_us() - self.started_us,
      verdicts: self.verdicts.clone(),
    }
  }
}

impl Future for Try {
  type Output = EndedTry;

  fn poll(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<EndedTry> {
    let Poll::Ready(result) = self.running.as_mut().poll(context) else {
      return Poll::Pending;
    };
    let known = match &result {
      Ok(response) => AttemptOutcome::Answered { status: response.status().as_u16() },
      Err(outcome) => outcome.clone(),
    };
    Poll::Ready(EndedTry { attempt: self.attempt(known), id: self.id, result })
  }
}
