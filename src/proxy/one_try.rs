use super::*;

/// One try at one backend server, under way.
pub(super) struct Try {
  box_id: BoxId,
  running: Pin<Box<dyn Future<Output = AttemptResult>>>,
  shared: Rc<Shared>,
  started_us: u64,
  verdicts: Vec<(BoxId, Verdict)>,
}

/// A try that ended.
pub(super) struct EndedTry {
  pub(super) attempt: Attempt,
  pub(super) result: AttemptResult,
}

impl Try {
  /// Starts a try at the chosen backend server; nothing where none was chosen.
  pub(super) fn start(
    shared: &Rc<Shared>,
    forwarded: &Forwarded,
    body: RequestBody,
    choice: Choice,
  ) -> Option<Self> {
    let endpoint = choice.chosen.clone()?;
    let box_id = endpoint.peer.box_id.clone();
    let (running_shared, forwarded) = (shared.clone(), forwarded.clone());
    let running =
      Box::pin(async move { forward::attempt(&running_shared, &forwarded, body, &endpoint).await });
    Some(Self {
      box_id,
      running,
      shared: shared.clone(),
      started_us: shared.elapsed_us(),
      verdicts: choice.told_verdicts(),
    })
  }

  /// The box that is tried.
  pub(super) fn box_id(&self) -> &BoxId {
    &self.box_id
  }

  /// What is known of a try that is given up, for another one answered first.
  pub(super) fn dropped(self) -> Attempt {
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
    Poll::Ready(EndedTry { attempt: self.attempt(known), result })
  }
}
