use super::*;

/// Limits the answers queued for a box's network link, so that each is sent soon after it is ready.
///
/// Answers of some hundred KB fill a narrow link long before their backend server runs out of
/// slots. Each then takes seconds to send, small answers wait behind it, and a planned stop of
/// either end cuts it off.
#[derive(Clone, Debug)]
pub struct AnswerBudget {
  queue: LinkQueue,
}

impl AnswerBudget {
  /// Share of the link that answers may fill. The rest is for packet headers and control messages.
  const ANSWER_PART: f64 = 0.95;
  /// Longest queue, in milliseconds, at which a large answer is accepted that another box could
  /// give as well.
  const QUEUE_OPTIONAL_MAX_MS: f64 = 100.0;
  /// Longest queue, in milliseconds, at which any large answer is accepted: what a fifth of usual
  /// target latencies allows.
  const QUEUE_MAX_MS: f64 = 250.0;
  /// Answers up to this size in bytes are always accepted: the limit concerns large ones.
  pub const SMALL_BYTES: u64 = 16_384;

  /// Creates the budget of a link of `link_mbps` megabits a second.
  pub fn new(link_mbps: f64) -> Self {
    Self { queue: LinkQueue::new(link_mbps, Self::ANSWER_PART) }
  }

  /// Reserves the link for an answer of `expected_bytes`.
  ///
  /// A request that `insists` accepts a longer queue, for it has nowhere else to go. No request
  /// accepts a queue longer than `max_wait_ms`.
  ///
  /// # Errors
  ///
  /// Returns the milliseconds after which to ask again, where the queue is too long.
  pub fn reserve(
    &mut self,
    now: Time,
    expected_bytes: u64,
    max_wait_ms: u64,
    insists: bool,
  ) -> Result<(), u64> {
    let waits_ms = self.queue.delay_ms(now);
    let queue_max_ms = if insists { Self::QUEUE_MAX_MS } else { Self::QUEUE_OPTIONAL_MAX_MS };
    let is_large = expected_bytes > Self::SMALL_BYTES;
    if is_large && waits_ms > queue_max_ms.min(to_f64(max_wait_ms)) {
      #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
      return Err(waits_ms.ceil() as u64);
    }
    self.queue.add(now, to_f64(expected_bytes));
    Ok(())
  }

  /// Replaces a reservation by the answer's real size in bytes, or by 0 where there is no answer.
  pub fn settle(&mut self, now: Time, expected_bytes: u64, bytes: u64) {
    self.queue.remove(to_f64(expected_bytes));
    self.queue.add(now, to_f64(bytes));
  }

  /// Returns the milliseconds after which a remote caller of this box may come back, if the link
  /// can't carry its large answer until it is due. `inbound_ms` is the wait for the link into the
  /// box.
  pub fn refuses_caller(
    &self,
    now: Time,
    expected_bytes: u64,
    inbound_ms: f64,
    due: Time,
  ) -> Option<u64> {
    let waits_ms = self.queue.delay_ms(now) + inbound_ms;
    let crossing_ms = to_f64(expected_bytes) / self.queue.bytes_per_ms();
    let is_late = waits_ms + crossing_ms > to_f64(due.since_ms(now));
    let is_refused = expected_bytes > Self::SMALL_BYTES && waits_ms > Self::QUEUE_MAX_MS && is_late;
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let back_ms = (waits_ms - Self::QUEUE_MAX_MS).ceil() as u64;
    is_refused.then_some(back_ms)
  }

  /// Lengthens the queue to the milliseconds that the link really owes, if those are more. Answers
  /// are counted from the start of their runs, and may all be ready together later.
  pub fn note_owed(&mut self, now: Time, owed_ms: f64) {
    self.queue.raise(now, owed_ms);
  }

  /// Counts an answer of `bytes` that is sent without a reservation: one to a caller of this box.
  pub fn count_unreserved(&mut self, now: Time, bytes: u64) {
    self.queue.add(now, to_f64(bytes));
  }

  /// Returns whether a wait for the link is so long that a box declines a large answer that another
  /// box could give as well.
  pub fn is_long(wait_ms: f64) -> bool {
    wait_ms > Self::QUEUE_OPTIONAL_MAX_MS
  }

  /// Returns the milliseconds that a large answer waits for the link.
  #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
  pub fn wait_ms(&self, now: Time) -> u64 {
    self.queue.delay_ms(now) as u64
  }

  /// Returns the queue's length in percent of the longest accepted one.
  pub fn load_percent(&self, now: Time) -> u32 {
    self.queue.percent_of(now, Self::QUEUE_MAX_MS)
  }
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(count: u64) -> f64 {
  count as f64
}
