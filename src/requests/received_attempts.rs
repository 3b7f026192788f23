use super::*;

/// Tracks the attempts that other daemons sent to this one, to tell a sender later whether one
/// arrived.
///
/// A connection between two daemons may stop delivering without an error. The sender of an attempt
/// then asks about it over a new connection. An attempt that never arrived is rejected from then
/// on: it has not run and never will, so the sender may safely send it to another box. An answer
/// that was lost on the way back is returned again.
///
/// `A` is the type of the stored answers.
#[derive(Clone, Debug)]
pub struct ReceivedAttempts<A> {
  /// Attempts that run, that ended within [`Self::REMEMBERED_MS`], or that are rejected.
  entries: BTreeMap<TryKey, Entry<A>>,
  started_at: Time,
  swept_at: Time,
}

#[derive(Clone, Debug)]
enum Entry<A> {
  /// Ended at `at`; `answer` is empty where none was stored or it expired.
  Ended { answer: Option<A>, at: Time },
  /// Asked about at `at`, when the attempt was unknown and the record went back `remembered_ms`. It
  /// is refused should it still arrive.
  Rejected { at: Time, remembered_ms: u64 },
  /// Waiting or running.
  Running,
}

/// What this daemon knows of an attempt that another daemon asks about.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptStatus<A> {
  /// The attempt ended with this answer.
  Answered(A),
  /// The attempt ended, and no answer is stored. An answer that its sender still lacks is lost.
  Ended,
  /// The attempt did not arrive, and is refused should it still arrive.
  NeverArrived,
  /// The attempt waits or runs, or its answer is being sent.
  Running,
  /// The attempt may have arrived before the oldest time that is remembered.
  Unknown,
}

impl<A: Clone> ReceivedAttempts<A> {
  /// Milliseconds for which an answer is stored: the longest interval between two queries about an
  /// attempt, for usual target latencies. At 20 answers of 3 KB a second, that takes 120 KB.
  const ANSWER_RETENTION_MS: u64 = 2_000;
  /// Milliseconds for which a rejected attempt is refused: as long as a kernel keeps sending the
  /// data of a closed connection.
  const REJECTED_MS: u64 = 120_000;
  /// Milliseconds for which an answer may still be in transit after its last byte was written: 100
  /// KB take about that long on a link of 1 Mbit/s.
  const IN_TRANSIT_MS: u64 = 1_000;
  /// Milliseconds for which an attempt is remembered after its end. A later query is answered
  /// `Unknown`.
  const REMEMBERED_MS: u64 = 5_000;
  /// Milliseconds between two removals of expired entries.
  const SWEEP_INTERVAL_MS: u64 = 500;

  /// Creates the record of a daemon that starts at `now`.
  pub fn new(now: Time) -> Self {
    Self { entries: BTreeMap::new(), started_at: now, swept_at: now }
  }

  /// Records an arriving attempt. Returns whether it may run: one that was rejected or arrived
  /// before may not.
  pub fn arrive(&mut self, now: Time, key: TryKey) -> bool {
    self.sweep(now);
    if self.entries.contains_key(&key) {
      return false;
    }
    self.entries.insert(key, Entry::Running);
    true
  }

  /// Records the end of an attempt, with the answer to store, if any.
  pub fn end(&mut self, now: Time, key: TryKey, answer: Option<A>) {
    self.entries.insert(key, Entry::Ended { answer, at: now });
  }

  /// Answers a daemon that asks about an attempt, and rejects the attempt from then on where it
  /// never arrived.
  ///
  /// The attempt was sent at most `age_ms` ago, however long the query was delayed: the sender
  /// ignores an answer that comes later.
  pub fn query(&mut self, now: Time, key: TryKey, age_ms: u64) -> AttemptStatus<A> {
    match self.entries.get(&key) {
      // The query that rejected the attempt may have been delayed, and then proves nothing about
      // this age.
      Some(Entry::Rejected { at, remembered_ms }) if age_ms < remembered_ms + now.since_ms(*at) => {
        AttemptStatus::NeverArrived
      }
      Some(Entry::Rejected { .. }) => AttemptStatus::Unknown,
      Some(Entry::Ended { answer: Some(answer), .. }) => AttemptStatus::Answered(answer.clone()),
      Some(Entry::Ended { answer: None, at }) if now.since_ms(*at) >= Self::IN_TRANSIT_MS => {
        AttemptStatus::Ended
      }
      Some(Entry::Ended { .. } | Entry::Running) => AttemptStatus::Running,
      None if age_ms >= self.remembered_ms(now) => AttemptStatus::Unknown,
      None => {
        let remembered_ms = self.remembered_ms(now);
        self.entries.insert(key, Entry::Rejected { at: now, remembered_ms });
        AttemptStatus::NeverArrived
      }
    }
  }

  /// Returns how many milliseconds back every arrival is remembered.
  fn remembered_ms(&self, now: Time) -> u64 {
    now.since_ms(self.started_at).min(Self::REMEMBERED_MS)
  }

  /// Removes expired entries and answers.
  fn sweep(&mut self, now: Time) {
    if now.since_ms(self.swept_at) < Self::SWEEP_INTERVAL_MS {
      return;
    }
    self.swept_at = now;
    self.entries.retain(|_, entry| match entry {
      Entry::Rejected { at, .. } => now.since_ms(*at) < Self::REJECTED_MS,
      Entry::Ended { answer, at } => {
        let ended_ms = now.since_ms(*at);
        if ended_ms >= Self::ANSWER_RETENTION_MS {
          *answer = None;
        }
        ended_ms < Self::REMEMBERED_MS
      }
      Entry::Running => true,
    });
  }

  /// Returns the number of attempts that are remembered or rejected.
  pub fn len(&self) -> usize {
    self.entries.len()
  }

  /// Returns whether no attempt is remembered or rejected.
  pub fn is_empty(&self) -> bool {
    self.entries.is_empty()
  }
}
