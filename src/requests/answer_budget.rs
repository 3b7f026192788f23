use super::*;

/// Bounds the answers that a box owes over its network link, so that each crosses soon once it is ready.
///
/// Answers of some hundred KB fill a narrow link long before their backend server's slots are taken. Each then
/// takes seconds to cross, small answers wait behind it, and a planned stop of either end has to cut it: with links
/// of 15 Mbit/s and two and a half times as many answers wanted as they carry, 40 were cut in four stops. On days of
/// 61 boxes whose links answers all but fill, the bound serves 4.7 requests in a hundred more (mean of three pairs).
#[derive(Clone, Debug)]
pub struct AnswerBudget {
  queue: LinkQueue,
}

impl AnswerBudget {
  /// The part of the link that answers may fill. The rest is for the heads of packets, and for control.
  const ANSWER_PART: f64 = 0.95;
  /// Milliseconds of the queue up to which an answer is taken on that others could give as well.
  const QUEUE_ASKED_MS: f64 = 100.0;
  /// Milliseconds of the queue above which no answer is taken on: what a fifth of usual targets leaves.
  const QUEUE_MAX_MS: f64 = 250.0;
  /// Answers of so few bytes are always taken on: the queue is about large ones.
  const SMALL_BYTES: u64 = 16_384;

  /// The budget of a link of so many megabits a second.
  pub fn new(link_mbps: f64) -> Self {
    Self { queue: LinkQueue::new(link_mbps, Self::ANSWER_PART) }
  }

  /// Reserves the link for an answer that is expected to have so many bytes, or tells after how many milliseconds to come
  /// back. One that `insists` waits for as long as it is patient; others go elsewhere before that.
  pub fn reserve(
    &mut self,
    now: Time,
    expected_bytes: u64,
    patience_ms: u64,
    insists: bool,
  ) -> Result<(), u64> {
    let waits_ms = self.queue.delay_ms(now);
    let wait_max_ms = if insists { Self::QUEUE_MAX_MS } else { Self::QUEUE_ASKED_MS };
    let is_large = expected_bytes > Self::SMALL_BYTES;
    if is_large && waits_ms > wait_max_ms.min(to_f64(patience_ms)) {
      #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
      return Err(waits_ms.ceil() as u64);
    }
    self.queue.add(now, to_f64(expected_bytes));
    Ok(())
  }

  /// An answer for which the link was reserved turns out to have so many bytes; none where there is no answer.
  pub fn settle(&mut self, now: Time, expected_bytes: u64, bytes: u64) {
    self.queue.remove(to_f64(expected_bytes));
    self.queue.add(now, to_f64(bytes));
  }

  /// An answer of so many bytes crosses the link without a reservation: one to a caller of the box.
  pub fn give(&mut self, now: Time, bytes: u64) {
    self.queue.add(now, to_f64(bytes));
  }

  /// How full the queue is, in percent.
  pub fn load_percent(&self, now: Time) -> u32 {
    self.queue.percent_of(now, Self::QUEUE_MAX_MS)
  }
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(count: u64) -> f64 {
  count as f64
}
