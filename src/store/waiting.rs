use super::*;

use {
  crate::timer::Stopwatch,
  futures_util::future::{Either, select},
};

/// Waits for answers of the store with the timeouts of [`Patience`], and reports their latency to
/// it.
pub struct Waiting {
  patience: RefCell<Patience>,
  started: Duration,
}

impl Waiting {
  /// The idle timeout of a body as a multiple of the minimum timeout. With the usual minimum of 1
  /// s, this is longer than other traffic on a slow link delays a body.
  const BODY_SILENT: u64 = 4;
  /// The total timeout of a body as a multiple of the minimum timeout, usually 1 s. The largest
  /// answer of a store of 1 MB values needs 25 s at 1 Mbit/s.
  const BODY_WHOLE: u64 = 60;

  /// Creates a waiter with a minimum timeout of `floor_ms` milliseconds until an answer begins.
  pub fn new(floor_ms: u64) -> Rc<Self> {
    Rc::new(Self { patience: RefCell::new(Patience::new(floor_ms)), started: timer::now() })
  }

  /// Returns the maximum timeout in milliseconds until an answer begins.
  pub fn cap_ms(&self) -> u64 {
    self.patience.borrow().cap_ms()
  }

  /// Returns the limits on the size and duration of an answer's body.
  pub fn body_limits(&self, bytes_max: usize) -> web::BodyLimits {
    let floor_ms = self.patience.borrow().floor_ms();
    web::BodyLimits {
      bytes_max,
      silent_ms: floor_ms * Self::BODY_SILENT,
      whole_ms: floor_ms * Self::BODY_WHOLE,
    }
  }

  /// Waits until an answer begins, for the `wait_ms` milliseconds that the store may wait plus the
  /// timeout. After a timeout, a task still waits for the answer up to the maximum timeout, because
  /// only its latency distinguishes a slow store from a silent one.
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
      // Slow answers to other calls may have raised the timeout meanwhile.
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
    Err(web::Error::Late { reason })
  }

  fn limit_ms(&self, kind: CallKind) -> u64 {
    self.patience.borrow().limit_ms(self.now(), kind)
  }

  /// Records the latency of an answer. Skips an answer within `wait_ms`, because the time of the
  /// change that it reports is unknown.
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
