use super::*;

use {
  crate::timer::Stopwatch,
  futures_util::future::{Either, select},
};

/// Waits for answers of the store as [`Patience`] says, and tells it what they took.
pub struct Waiting {
  patience: RefCell<Patience>,
  started: Duration,
}

impl Waiting {
  /// For how long a body may stand still, as a multiple of the floor: with the usual 1 s, longer than other
  /// bytes on a narrow link hold one up.
  const BODY_SILENT: u64 = 4;
  /// How long a body may take in all while bytes keep coming, as a multiple of the floor: with the usual
  /// 1 s, the largest answer of a store of 1 MB values needs 25 s at 1 Mbit/s.
  const BODY_WHOLE: u64 = 60;

  /// Grants `floor_ms` until an answer begins, and more where answers lately took longer.
  pub fn new(floor_ms: u64) -> Rc<Self> {
    Rc::new(Self { patience: RefCell::new(Patience::new(floor_ms)), started: timer::now() })
  }

  /// Longest time in milliseconds that anybody waits until an answer begins.
  pub fn cap_ms(&self) -> u64 {
    self.patience.borrow().cap_ms()
  }

  /// What is granted to the body of an answer.
  pub fn body_limits(&self, bytes_max: usize) -> web::BodyLimits {
    let floor_ms = self.patience.borrow().floor_ms();
    web::BodyLimits {
      bytes_max,
      idle_timeout_ms: floor_ms * Self::BODY_SILENT,
      total_timeout_ms: floor_ms * Self::BODY_WHOLE,
    }
  }

  /// Waits until an answer begins, besides the `wait_ms` that the store waits on purpose. An answer that is
  /// late for its call is still awaited: what it took is the only way to tell a slow store from a silent
  /// one.
  pub async fn until_begun<T: 'static>(
    self: &Rc<Self>,
    kind: CallKind,
    wait_ms: u64,
    answer: impl Future<Output = web::Result<T>> + 'static,
  ) -> web::Result<T> {
    let sent = Stopwatch::start();
    let mut limit_ms = self.limit_ms(kind);
    let mut pause_ms = wait_ms + limit_ms;
    let mut answer = Box::pin(answer);
    loop {
      let pause = Box::pin(timer::sleep(Duration::from_millis(pause_ms)));
      match select(answer, pause).await {
        Either::Left((answered, _)) => {
          self.note(kind, wait_ms, sent, answered.is_ok());
          return answered;
        }
        Either::Right(((), late)) => answer = late,
      }
      // Answers to other calls may have shown meanwhile that the store is slow.
      let longer_ms = self.limit_ms(kind);
      if longer_ms <= limit_ms {
        break;
      }
      pause_ms = longer_ms - limit_ms;
      limit_ms = longer_ms;
    }
    self.patience.borrow_mut().given_up(self.now(), kind, limit_ms);
    let rest_ms = self.patience.borrow().cap_ms().saturating_sub(limit_ms);
    let waiting = self.clone();
    monoio::spawn(async move {
      let answered = timer::timeout(Duration::from_millis(rest_ms), answer).await;
      waiting.note(kind, wait_ms, sent, matches!(answered, Ok(Ok(_))));
    });
    let reason = format!("no answer began within {} ms", wait_ms + limit_ms);
    Err(web::Error::TimedOut { reason })
  }

  fn limit_ms(&self, kind: CallKind) -> u64 {
    self.patience.borrow().limit_ms(self.now(), kind)
  }

  /// Notes what an answer took. Before the store's own wait was over, it may have come at any time after
  /// what it tells of happened.
  fn note(&self, kind: CallKind, wait_ms: u64, sent: Stopwatch, is_answered: bool) {
    let took_ms = sent.read().map(|took| u64::try_from(took.as_millis()).unwrap_or(u64::MAX));
    if let Some(took_ms) = took_ms.filter(|took_ms| is_answered && *took_ms >= wait_ms) {
      self.patience.borrow_mut().answered(self.now(), kind, took_ms - wait_ms);
    }
  }

  fn now(&self) -> Time {
    Time(u64::try_from(timer::now().saturating_sub(self.started).as_millis()).unwrap_or(u64::MAX))
  }
}
