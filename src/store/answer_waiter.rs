use super::*;

use {
  crate::timer::Stopwatch,
  futures_util::future::{Either, select},
};

/// Waits for answers of the store with an [`AdaptiveTimeout`], and reports their latency to it.
pub struct AnswerWaiter {
  timeout: RefCell<AdaptiveTimeout>,
  started: Duration,
}

impl AnswerWaiter {
  /// The idle timeout of a body as a multiple of the minimum timeout. With the usual minimum of
  /// 1 s, this is longer than other traffic on a slow link delays a body.
  const BODY_IDLE_FACTOR: u64 = 4;
  /// The total timeout of a body as a multiple of the minimum timeout, usually 1 s. The largest
  /// answer of a store of 1 MB values needs 25 s at 1 Mbit/s.
  const BODY_TOTAL_FACTOR: u64 = 60;

  /// Creates a waiter with a minimum timeout of `min_ms` milliseconds until an answer begins.
  pub fn new(min_ms: u64) -> Rc<Self> {
    Rc::new(Self { timeout: RefCell::new(AdaptiveTimeout::new(min_ms)), started: timer::now() })
  }

  /// Returns the maximum timeout in milliseconds until an answer begins.
  pub fn max_ms(&self) -> u64 {
    self.timeout.borrow().max_ms()
  }

  /// Returns the limits on the size and duration of an answer's body.
  pub fn body_limits(&self, bytes_max: usize) -> web::BodyLimits {
    let min_ms = self.timeout.borrow().min_ms();
    web::BodyLimits {
      bytes_max,
      idle_timeout_ms: min_ms * Self::BODY_IDLE_FACTOR,
      total_timeout_ms: min_ms * Self::BODY_TOTAL_FACTOR,
    }
  }

  /// Waits until an answer begins, for the `wait_ms` milliseconds that the store may wait plus the
  /// timeout. After a timeout, a task still waits for the answer up to the maximum timeout, because
  /// only its latency distinguishes a slow store from a silent one.
  pub async fn await_head<T: 'static>(
    self: &Rc<Self>,
    kind: CallKind,
    wait_ms: u64,
    answer: impl Future<Output = web::Result<T>> + 'static,
  ) -> web::Result<T> {
    let sent = Stopwatch::start();
    let mut timeout_ms = self.timeout_ms(kind);
    let mut pause_ms = wait_ms + timeout_ms;
    let mut answer = Box::pin(answer);
    loop {
      let pause = Box::pin(timer::sleep(Duration::from_millis(pause_ms)));
      match select(answer, pause).await {
        Either::Left((answered, _)) => {
          self.record_latency(kind, wait_ms, sent, answered.is_ok());
          return answered;
        }
        Either::Right(((), late)) => answer = late,
      }
      // Slow answers to other calls may have raised the timeout meanwhile.
      let longer_ms = self.timeout_ms(kind);
      if longer_ms <= timeout_ms {
        break;
      }
      pause_ms = longer_ms - timeout_ms;
      timeout_ms = longer_ms;
    }
    self.timeout.borrow_mut().timed_out(self.now(), kind, timeout_ms);
    let rest_ms = self.timeout.borrow().max_ms().saturating_sub(timeout_ms);
    let waiter = self.clone();
    monoio::spawn(async move {
      let answered = timer::timeout(Duration::from_millis(rest_ms), answer).await;
      waiter.record_latency(kind, wait_ms, sent, matches!(answered, Ok(Ok(_))));
    });
    let reason = format!("no answer began within {} ms", wait_ms + timeout_ms);
    Err(web::Error::TimedOut { reason })
  }

  fn timeout_ms(&self, kind: CallKind) -> u64 {
    self.timeout.borrow().timeout_ms(self.now(), kind)
  }

  /// Records the latency of an answer. Skips an answer within `wait_ms`, because the time of the
  /// change that it reports is unknown.
  fn record_latency(&self, kind: CallKind, wait_ms: u64, sent: Stopwatch, is_answered: bool) {
    let took_ms = sent.read().map(|took| u64::try_from(took.as_millis()).unwrap_or(u64::MAX));
    if let Some(took_ms) = took_ms.filter(|took_ms| is_answered && *took_ms >= wait_ms) {
      self.timeout.borrow_mut().answered(self.now(), kind, took_ms - wait_ms);
    }
  }

  fn now(&self) -> Time {
    Time(u64::try_from(timer::now().saturating_sub(self.started).as_millis()).unwrap_or(u64::MAX))
  }
}
