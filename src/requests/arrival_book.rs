use super::*;

/// The tries that came to this daemon from others, so that it can tell whether one arrived.
///
/// A connection between two daemons may go silent for good. Whoever sent a try on it asks over a fresh one:
/// a try that never arrived is barred from then on, which proves that it has not run and never will, and may
/// go elsewhere; and an answer that was lost on the way back is given again.
///
/// `A` is the form in which answers are kept.
#[derive(Clone, Debug)]
pub struct ArrivalBook<A> {
  /// All tries that arrived and run, or ended within [`Self::REMEMBERED_MS`]; and those that are barred.
  entries: BTreeMap<TryKey, Entry<A>>,
  started_at: Time,
  swept_at: Time,
}

#[derive(Clone, Debug)]
enum Entry<A> {
  /// It was asked for at that time and not known, when all that had arrived so many milliseconds before was
  /// remembered. It is refused.
  Barred { at: Time, remembered_ms: u64 },
  /// It ended at that time, perhaps with an answer that was kept.
  Ended { answer: Option<A>, at: Time },
  /// It waits or runs.
  Running,
}

/// What is known of a try that another daemon asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Whereabouts<A> {
  /// It ended with this answer.
  Answered(A),
  /// It ended a while ago without an answer that was kept: what its sender did not get by now is lost.
  Ended,
  /// It did not arrive, and is refused should it still come.
  NeverArrived,
  /// It waits or runs, or its answer is on its way.
  Running,
  /// It may have arrived before anything that is remembered.
  Unknown,
}

impl<A: Clone> ArrivalBook<A> {
  /// Milliseconds for which an answer is kept: the longest pause between two questions for a try, for usual
  /// targets. With 20 requests of 3 KB a second that is 120 KB.
  const ANSWER_KEPT_MS: u64 = 2_000;
  /// Milliseconds for which a barred try is refused: as long as a kernel goes on sending what a closed
  /// connection still holds.
  const BARRED_MS: u64 = 120_000;
  /// Milliseconds that an answer may still be on its way after its last byte was written: 100 KB wait that
  /// long in front of a link of 1 Mbit/s.
  const ON_ITS_WAY_MS: u64 = 1_000;
  /// Milliseconds for which a try is remembered after its end. What is asked for later gets no proof.
  const REMEMBERED_MS: u64 = 5_000;
  /// Milliseconds between two sweeps.
  const SWEEP_MS: u64 = 500;

  /// The book of a daemon that starts now.
  pub fn new(now: Time) -> Self {
    Self { entries: BTreeMap::new(), started_at: now, swept_at: now }
  }

  /// A try arrives. Returns whether it may run: one that was asked for before, or came already, may not.
  pub fn arrive(&mut self, now: Time, key: TryKey) -> bool {
    self.sweep(now);
    if self.entries.contains_key(&key) {
      return false;
    }
    self.entries.insert(key, Entry::Running);
    true
  }

  /// A try ended, with an answer to be kept or without.
  pub fn end(&mut self, now: Time, key: TryKey, answer: Option<A>) {
    self.entries.insert(key, Entry::Ended { answer, at: now });
  }

  /// Another daemon asks for a try that it sent `age_ms` ago at most, whenever this is heard: it does not wait
  /// for the answer for longer. A try that never arrived is barred.
  pub fn ask(&mut self, now: Time, key: TryKey, age_ms: u64) -> Whereabouts<A> {
    match self.entries.get(&key) {
      // The first question may have been held up, and then it proved nothing.
      Some(Entry::Barred { at, remembered_ms }) if age_ms < remembered_ms + now.since_ms(*at) => {
        Whereabouts::NeverArrived
      }
      Some(Entry::Barred { .. }) => Whereabouts::Unknown,
      Some(Entry::Ended { answer: Some(answer), .. }) => Whereabouts::Answered(answer.clone()),
      Some(Entry::Ended { answer: None, at }) if now.since_ms(*at) >= Self::ON_ITS_WAY_MS => {
        Whereabouts::Ended
      }
      Some(Entry::Ended { .. } | Entry::Running) => Whereabouts::Running,
      None if age_ms >= self.remembered_ms(now) => Whereabouts::Unknown,
      None => {
        let remembered_ms = self.remembered_ms(now);
        self.entries.insert(key, Entry::Barred { at: now, remembered_ms });
        Whereabouts::NeverArrived
      }
    }
  }

  /// Milliseconds back to which everything that arrived is remembered.
  fn remembered_ms(&self, now: Time) -> u64 {
    now.since_ms(self.started_at).min(Self::REMEMBERED_MS)
  }

  fn sweep(&mut self, now: Time) {
    if now.since_ms(self.swept_at) < Self::SWEEP_MS {
      return;
    }
    self.swept_at = now;
    self.entries.retain(|_, entry| match entry {
      Entry::Barred { at, .. } => now.since_ms(*at) < Self::BARRED_MS,
      Entry::Ended { answer, at } => {
        let ended_ms = now.since_ms(*at);
        if ended_ms >= Self::ANSWER_KEPT_MS {
          *answer = None;
        }
        ended_ms < Self::REMEMBERED_MS
      }
      Entry::Running => true,
    });
  }

  /// Tries that are remembered or barred.
  pub fn len(&self) -> usize {
    self.entries.len()
  }

  /// Whether nothing is remembered.
  pub fn is_empty(&self) -> bool {
    self.entries.is_empty()
  }
}
