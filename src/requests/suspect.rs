use super::*;

/// A request that was running when backend server processes crashed.
#[derive(Clone, Debug)]
pub struct Suspect {
  /// The boxes of the last crashes, oldest first.
  pub boxes: Vec<BoxId>,
  /// Crashes since its last completed run.
  pub crashes: u32,
  /// When its last trial here ended without a result.
  failed_trial_at: Option<Time>,
  /// Whether the last trial here counts as a late run, and no crash was reported since.
  is_trial_counted: bool,
  /// When the last crash was reported.
  pub last_crash_at: Time,
  /// Crashes, and trials here without a result, later than the fleet takes to learn of the third
  /// crash. A trial and the crash that it caused count once.
  late_runs: u32,
  /// Crashes of processes that did not run it, within [`Suspect::SPELL_MS`] of its last crash.
  pub(super) other_crashes: u32,
  /// When the current round began.
  round_began_at: Time,
  /// Rounds of crashes, counted from the third crash. Each round but the first begins with a trial.
  rounds: u32,
  /// Its crashes since one that came longer than [`Suspect::SPELL_MS`] after the one before it.
  spell_crashes: u32,
  /// When its third crash was reported.
  third_crash_at: Option<Time>,
}

impl Suspect {
  /// Boxes remembered per suspect, enough for operators to find the log lines of the crashes.
  const BOXES_MAX: usize = 4;
  /// Crashes from which a request is held back. With six backend servers, one in five innocent
  /// requests of a crash is in the next crash too, for it was retried where the cause was retried.
  pub(super) const HELD_CRASHES: u32 = 2;
  /// Milliseconds for which a request of two crashes is held, so that the whole fleet learns of
  /// them. Callers that wait for a few seconds still get their answer.
  const HOLD_FIRST_MS: u64 = 1_000;
  /// Milliseconds for which a request is held from its third crash on, by round. Each trial may
  /// cost a backend server all its running requests and some seconds.
  const HOLDS_MS: [u64; 3] = [Self::HOLD_FIRST_MS, 10_000, 60_000];
  /// Milliseconds after the third crash within which a trial is not a late one. The whole fleet
  /// knows of a crash by then.
  const EARLY_MS: u64 = 2_000;
  /// Late runs from which a request is held until it is forgotten.
  const LATE_RUNS_MAX: u32 = 3;
  /// Milliseconds within which crashes count as one round: the requests were sent before the fleet
  /// knew of the first crash.
  const ROUND_MS: u64 = Self::HOLD_FIRST_MS;
  /// Milliseconds within which crashes of several processes may have one cause. That an idle
  /// process crashed is noticed when the next one runs.
  pub(super) const SPELL_MS: u64 = 3_000;
  /// Milliseconds after its last crash for which a request of two or more crashes is remembered.
  /// One that has not crashed anything for that long may run again.
  const REMEMBERED_MS: u64 = 3_600_000;
  /// Milliseconds for which a request of one crash is remembered, longer than its caller waits
  /// before a retry.
  const REMEMBERED_ONCE_MS: u64 = 600_000;

  pub(super) fn new(now: Time) -> Self {
    Self {
      boxes: Vec::new(),
      crashes: 0,
      failed_trial_at: None,
      is_trial_counted: false,
      last_crash_at: now,
      late_runs: 0,
      other_crashes: 0,
      round_began_at: now,
      rounds: 0,
      spell_crashes: 0,
      third_crash_at: None,
    }
  }

  /// Counts a crash of a process that ran it.
  pub(super) fn crash(&mut self, now: Time, box_id: &BoxId) {
    if now.since_ms(self.last_crash_at) >= Self::SPELL_MS {
      self.spell_crashes = 0;
    }
    self.crashes = self.crashes.saturating_add(1);
    self.spell_crashes = self.spell_crashes.saturating_add(1);
    self.last_crash_at = now;
    if self.boxes.len() == Self::BOXES_MAX {
      self.boxes.remove(0);
    }
    self.boxes.push(box_id.clone());
    if self.crashes > Self::HELD_CRASHES {
      self.count_round(now);
    }
  }

  /// Counts a crash from the third one on, and the round that it begins.
  fn count_round(&mut self, now: Time) {
    let third_crash_at = *self.third_crash_at.get_or_insert(now);
    let is_recent = self.failed_trial_at.is_some_and(|at| now.since_ms(at) < Self::ROUND_MS);
    let is_counted = std::mem::take(&mut self.is_trial_counted) && is_recent;
    if !is_counted && now.since_ms(third_crash_at) >= Self::EARLY_MS {
      self.late_runs = self.late_runs.saturating_add(1);
    }
    if self.rounds > 0 && now.since_ms(self.round_began_at) < Self::ROUND_MS {
      return;
    }
    self.round_began_at = now;
    self.rounds = self.rounds.saturating_add(1);
  }

  /// Counts a trial that ended without a result: its caller gave up or its connection broke. A
  /// crash that it caused is reported soon after, and not counted again.
  pub(super) fn fail_trial(&mut self, now: Time) {
    let is_late = |third_crash_at: Time| now.since_ms(third_crash_at) >= Self::EARLY_MS;
    if self.third_crash_at.is_some_and(is_late) {
      self.late_runs = self.late_runs.saturating_add(1);
      self.is_trial_counted = true;
    }
    self.failed_trial_at = Some(now);
  }

  /// Milliseconds for which it is still held; 0 if it may be tried.
  pub(super) fn left_ms(&self, now: Time) -> u64 {
    let after_crash_ms = self.hold_ms().saturating_sub(now.since_ms(self.last_crash_at));
    let after_trial_ms =
      self.failed_trial_at.map_or(0, |at| self.trial_hold_ms().saturating_sub(now.since_ms(at)));
    after_crash_ms.max(after_trial_ms)
  }

  /// Milliseconds for which it is held after a trial without a result. Without that, a request that
  /// crashes processes would be tried again and again if its callers give up early.
  fn trial_hold_ms(&self) -> u64 {
    let late_trial = (self.late_runs as usize).checked_sub(1);
    late_trial.map_or(0, |late| Self::HOLDS_MS.get(late).copied().unwrap_or_default())
  }

  /// Whether as many processes crashed without it as with it, so that their cause is likely another
  /// one.
  fn is_likely_innocent(&self) -> bool {
    self.other_crashes >= self.spell_crashes
  }

  /// Milliseconds for which it is held after its last crash. After the last round it stays held
  /// until it is forgotten.
  fn hold_ms(&self) -> u64 {
    if self.late_runs >= Self::LATE_RUNS_MAX {
      return Self::REMEMBERED_MS;
    }
    if self.is_likely_innocent() {
      return Self::HOLD_FIRST_MS;
    }
    match (self.rounds as usize).checked_sub(1) {
      None => Self::HOLD_FIRST_MS,
      Some(round) => Self::HOLDS_MS.get(round).copied().unwrap_or(Self::REMEMBERED_MS),
    }
  }

  pub(super) fn retention_ms(&self) -> u64 {
    let is_held = self.crashes >= Self::HELD_CRASHES;
    if is_held { Self::REMEMBERED_MS } else { Self::REMEMBERED_ONCE_MS }
  }
}
