use super::*;

/// Tracks the requests that were running when backend server processes crashed anywhere in the
/// fleet, and holds back likely culprits.
///
/// A crash makes a suspect of every request that was running, though most did not cause it.
/// Suspects of one crash are still sent, and a completed run clears them. A request that was
/// running in two crashes without a completed run in between is held for a second and then run
/// alone, on one box of the fleet (a trial). The first trial after the third crash follows as soon:
/// run alone, an innocent request completes. After each further crash it is held for longer, unless
/// as many other processes crashed at that time without it: then the trial was likely hit by
/// another cause, and is repeated soon. Trials that begin later than the fleet takes to learn of
/// the third crash are limited in any case.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
  /// The last crashes, with the requests that ran, oldest first.
  recent: VecDeque<(Time, Vec<Fingerprint>)>,
  /// Ids of the findings that each box last reported.
  reported: BTreeMap<BoxId, Vec<u64>>,
  suspects: BTreeMap<Fingerprint, Suspect>,
  swept_at: Time,
  /// The suspect that the local backend server runs on trial.
  trial: Option<Fingerprint>,
  /// Until when no trial begins here, as the last one may have crashed the process.
  trials_from: Time,
}

/// A request that was running when backend server processes crashed.
#[derive(Clone, Debug)]
pub struct Suspect {
  /// The boxes of the last crashes, oldest first.
  pub boxes: Vec<BoxId>,
  /// Crashes since its last completed run.
  pub crashes: u32,
  /// When the last crash was reported.
  pub last_crash_at: Time,
  /// Rounds that began later than the fleet takes to learn of the third crash.
  late_rounds: u32,
  /// Crashes of processes that did not run it, within [`Quarantine::SPELL_MS`] of its last crash.
  other_crashes: u32,
  /// When the current round began.
  round_began_at: Time,
  /// Rounds of crashes, counted from the third crash. Each round but the first begins with a trial.
  rounds: u32,
  /// Its crashes since one that came longer than [`Quarantine::SPELL_MS`] after the one before it.
  spell_crashes: u32,
  /// When its third crash was reported.
  third_crash_at: Option<Time>,
}

/// A change of the quarantine, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineChange {
  /// A request that was held back completed a run.
  Cleared(Fingerprint),
  /// A request is held back after this many crashes.
  Held(Fingerprint, u32),
}

impl Quarantine {
  /// Boxes remembered per suspect, enough for operators to find the log lines of the crashes.
  const BOXES_MAX: usize = 4;
  /// Crashes from which a request is held back. With six backend servers, one in five innocent
  /// requests of a crash is in the next crash too, for it was retried where the cause was retried.
  const HELD_CRASHES: u32 = 2;
  /// Milliseconds for which a request of two crashes is held, so that the whole fleet learns of
  /// them. Callers that wait for a few seconds still get their answer.
  const HOLD_FIRST_MS: u64 = 1_000;
  /// Milliseconds for which a request is held from its third crash on, by round. Each trial may
  /// cost a backend server all its running requests and some seconds.
  const HOLDS_MS: [u64; 3] = [Self::HOLD_FIRST_MS, 10_000, 60_000];
  /// Milliseconds after the third crash within which a trial is not a late one. The whole fleet
  /// knows of a crash by then.
  const EARLY_MS: u64 = 2_000;
  /// Rounds after late trials from which a request is held until it is forgotten.
  const LATE_ROUNDS_MAX: u32 = 3;
  /// Most recent crashes remembered.
  const RECENT_MAX: usize = 64;
  /// Milliseconds within which crashes count as one round: the requests were sent before the fleet
  /// knew of the first crash.
  const ROUND_MS: u64 = Self::HOLD_FIRST_MS;
  /// Milliseconds within which crashes of several processes may have one cause. That an idle
  /// process crashed is noticed when the next one runs.
  const SPELL_MS: u64 = 3_000;
  /// Milliseconds after its last crash for which a request of two or more crashes is remembered.
  /// One that has not crashed anything for that long may run again.
  const REMEMBERED_MS: u64 = 3_600_000;
  /// Milliseconds for which a request of one crash is remembered, longer than its caller waits
  /// before a retry.
  const REMEMBERED_ONCE_MS: u64 = 600_000;
  /// Milliseconds after which to retry a request whose trial box is busy with another trial.
  const TRIAL_RETRY_MS: u64 = 300;
  /// Milliseconds after a trial without a result within which its crash is noticed and reported.
  const TRIAL_SETTLE_MS: u64 = 500;
  /// Milliseconds between two removals of expired suspects.
  const SWEEP_MS: u64 = 5_000;
  /// Maximum number of suspects, of about 200 bytes each. Above it, those with the fewest crashes
  /// are removed first.
  const SUSPECTS_MAX: usize = 4_096;

  /// Processes the new findings of boxes. Returns the resulting changes.
  pub fn add_findings<'a>(
    &mut self,
    now: Time,
    endpoints: impl Iterator<Item = &'a Endpoint>,
  ) -> Vec<QuarantineChange> {
    self.sweep(now);
    let fresh: Vec<(&BoxId, &RunFinding)> =
      endpoints.flat_map(|one| self.new_findings(one)).collect();
    let mut changes = Vec::new();
    // A daemon that starts receives all findings at once, unordered. Crashes are counted first, so
    // that a completed run anywhere clears a request.
    for (box_id, finding) in &fresh {
      if let RunOutcome::Crashed(suspects) = &finding.outcome {
        changes
          .extend(suspects.iter().filter_map(|suspect| self.count_crash(now, box_id, *suspect)));
        self.record_crash(now, suspects);
      }
    }
    for (_, finding) in &fresh {
      if let RunOutcome::Survived(survivors) = &finding.outcome {
        changes.extend(survivors.iter().filter_map(|survivor| self.clear(*survivor)));
      }
    }
    changes
  }

  /// Returns the findings of a box that it had not reported before.
  fn new_findings<'a>(&mut self, endpoint: &'a Endpoint) -> Vec<(&'a BoxId, &'a RunFinding)> {
    let box_id = &endpoint.peer.box_id;
    if endpoint.findings.is_empty() && !self.reported.contains_key(box_id) {
      return Vec::new();
    }
    let ids: Vec<u64> = endpoint.findings.iter().map(|finding| finding.id).collect();
    let reported = self.reported.insert(box_id.clone(), ids).unwrap_or_default();
    let fresh = endpoint.findings.iter().filter(|finding| !reported.contains(&finding.id));
    fresh.map(|finding| (box_id, finding)).collect()
  }

  /// Forgets the findings of boxes that are no longer known.
  pub fn retain(&mut self, is_known: impl Fn(&BoxId) -> bool) {
    self.reported.retain(|box_id, _| is_known(box_id));
  }

  fn count_crash(
    &mut self,
    now: Time,
    box_id: &BoxId,
    fingerprint: Fingerprint,
  ) -> Option<QuarantineChange> {
    let without = |(at, ran): &&(Time, Vec<Fingerprint>)| {
      now.since_ms(*at) < Self::SPELL_MS && !ran.contains(&fingerprint)
    };
    let other_crashes = self.recent.iter().filter(without).count();
    let suspect = self.suspects.entry(fingerprint).or_insert_with(|| Suspect::new(now));
    suspect.other_crashes = u32::try_from(other_crashes).unwrap_or(u32::MAX);
    suspect.crash(now, box_id);
    let crashes = suspect.crashes;
    (crashes >= Self::HELD_CRASHES).then_some(QuarantineChange::Held(fingerprint, crashes))
  }

  /// Records a crash of a process that ran these requests, or none.
  fn record_crash(&mut self, now: Time, ran: &[Fingerprint]) {
    if self.recent.len() == Self::RECENT_MAX {
      self.recent.pop_front();
    }
    self.recent.push_back((now, ran.to_vec()));
    for (fingerprint, suspect) in &mut self.suspects {
      if now.since_ms(suspect.last_crash_at) < Self::SPELL_MS && !ran.contains(fingerprint) {
        suspect.other_crashes = suspect.other_crashes.saturating_add(1);
      }
    }
  }

  fn clear(&mut self, fingerprint: Fingerprint) -> Option<QuarantineChange> {
    let cleared = self.suspects.remove(&fingerprint)?;
    let was_held = cleared.crashes >= Self::HELD_CRASHES;
    was_held.then_some(QuarantineChange::Cleared(fingerprint))
  }

  /// Whether a request is a suspect, so that its completed run has to be reported.
  pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
    self.suspects.contains_key(&fingerprint)
  }

  /// Returns whether a request may be sent.
  pub fn status(&self, now: Time, fingerprint: Fingerprint) -> QuarantineStatus {
    let suspect = self.suspects.get(&fingerprint);
    let Some(suspect) = suspect.filter(|suspect| suspect.crashes >= Self::HELD_CRASHES) else {
      return QuarantineStatus::Allowed;
    };
    let left_ms = suspect.hold_ms().saturating_sub(now.since_ms(suspect.last_crash_at));
    if left_ms == 0 {
      return QuarantineStatus::OnTrial;
    }
    QuarantineStatus::Held { crashes: suspect.crashes, retry_after_ms: left_ms }
  }

  /// Chooses the trial box of a request by rendezvous hashing. Daemons that know the same boxes
  /// choose the same one.
  pub fn trial_box<'a>(
    fingerprint: Fingerprint,
    candidates: impl Iterator<Item = &'a BoxId>,
  ) -> Option<&'a BoxId> {
    candidates
      .max_by_key(|box_id| Digest::of(format!("{fingerprint} {box_id}").as_bytes()).prefix())
  }

  /// Checks whether a request may run at the local backend server, and begins its trial if it needs
  /// one. A trial runs only on the request's trial box, even if the sender knew nothing of it, and
  /// one at a time. The caller reports its end to [`Quarantine::trial_ended`].
  pub fn begin_run(
    &mut self,
    now: Time,
    fingerprint: Fingerprint,
    is_trial_box: impl FnOnce() -> bool,
  ) -> QuarantineStatus {
    let status = self.status(now, fingerprint);
    if status != QuarantineStatus::OnTrial {
      return status;
    }
    if self.is_trial_busy(now) || !is_trial_box() {
      let crashes = self.suspects.get(&fingerprint).map_or(0, |suspect| suspect.crashes);
      return QuarantineStatus::Held { crashes, retry_after_ms: Self::TRIAL_RETRY_MS };
    }
    self.trial = Some(fingerprint);
    status
  }

  fn is_trial_busy(&self, now: Time) -> bool {
    self.trial.is_some() || now < self.trials_from
  }

  /// Whether a request waits only for another trial at the local backend server to end.
  pub fn awaits_trial(&self, now: Time, fingerprint: Fingerprint) -> bool {
    self.is_trial_busy(now) && self.status(now, fingerprint) == QuarantineStatus::OnTrial
  }

  /// Ends the trial of a request that did not complete. Another begins only once a crash of the
  /// process would be known.
  pub fn trial_failed(&mut self, now: Time, fingerprint: Fingerprint) {
    if self.trial == Some(fingerprint) {
      self.trials_from = now.after(Self::TRIAL_SETTLE_MS);
    }
    self.trial_ended(fingerprint);
  }

  /// Ends the trial of a request.
  pub fn trial_ended(&mut self, fingerprint: Fingerprint) {
    self.trial.take_if(|trial| *trial == fingerprint);
  }

  fn sweep(&mut self, now: Time) {
    let is_full = self.suspects.len() > Self::SUSPECTS_MAX;
    if !is_full && now.since_ms(self.swept_at) < Self::SWEEP_MS {
      return;
    }
    self.swept_at = now;
    self.suspects.retain(|_, suspect| now.since_ms(suspect.last_crash_at) < suspect.retention_ms());
    let surplus = self.suspects.len().saturating_sub(Self::SUSPECTS_MAX / 2);
    if is_full && surplus > 0 {
      let mut by_weight: Vec<(u32, Time, Fingerprint)> = self
        .suspects
        .iter()
        .map(|(fingerprint, one)| (one.crashes, one.last_crash_at, *fingerprint))
        .collect();
      by_weight.sort_unstable();
      for (_, _, fingerprint) in &by_weight[..surplus] {
        self.suspects.remove(fingerprint);
      }
    }
  }

  /// Number of requests that are held back or on trial.
  pub fn held(&self) -> usize {
    self.suspects.values().filter(|suspect| suspect.crashes >= Self::HELD_CRASHES).count()
  }

  /// All suspects.
  pub fn suspects(&self) -> impl Iterator<Item = (Fingerprint, &Suspect)> {
    self.suspects.iter().map(|(fingerprint, suspect)| (*fingerprint, suspect))
  }

  /// Number of suspects.
  pub fn len(&self) -> usize {
    self.suspects.len()
  }

  /// Whether there are no suspects.
  pub fn is_empty(&self) -> bool {
    self.suspects.is_empty()
  }
}

impl Suspect {
  fn new(now: Time) -> Self {
    Self {
      boxes: Vec::new(),
      crashes: 0,
      last_crash_at: now,
      late_rounds: 0,
      other_crashes: 0,
      round_began_at: now,
      rounds: 0,
      spell_crashes: 0,
      third_crash_at: None,
    }
  }

  /// Counts a crash of a process that ran it.
  fn crash(&mut self, now: Time, box_id: &BoxId) {
    if now.since_ms(self.last_crash_at) >= Quarantine::SPELL_MS {
      self.spell_crashes = 0;
    }
    self.crashes = self.crashes.saturating_add(1);
    self.spell_crashes = self.spell_crashes.saturating_add(1);
    self.last_crash_at = now;
    if self.boxes.len() == Quarantine::BOXES_MAX {
      self.boxes.remove(0);
    }
    self.boxes.push(box_id.clone());
    if self.crashes > Quarantine::HELD_CRASHES {
      self.count_round(now);
    }
  }

  /// Counts a round with the crash that begins it.
  fn count_round(&mut self, now: Time) {
    let third_crash_at = *self.third_crash_at.get_or_insert(now);
    if self.rounds > 0 && now.since_ms(self.round_began_at) < Quarantine::ROUND_MS {
      return;
    }
    self.round_began_at = now;
    self.rounds = self.rounds.saturating_add(1);
    if now.since_ms(third_crash_at) >= Quarantine::EARLY_MS {
      self.late_rounds = self.late_rounds.saturating_add(1);
    }
  }

  /// Whether as many processes crashed without it as with it, so that their cause is likely another
  /// one.
  fn is_likely_innocent(&self) -> bool {
    self.other_crashes >= self.spell_crashes
  }

  /// Milliseconds for which it is held after its last crash. After the last round it stays held
  /// until it is forgotten.
  fn hold_ms(&self) -> u64 {
    if self.late_rounds >= Quarantine::LATE_ROUNDS_MAX {
      return Quarantine::REMEMBERED_MS;
    }
    if self.is_likely_innocent() {
      return Quarantine::HOLD_FIRST_MS;
    }
    match (self.rounds as usize).checked_sub(1) {
      None => Quarantine::HOLD_FIRST_MS,
      Some(round) => Quarantine::HOLDS_MS.get(round).copied().unwrap_or(Quarantine::REMEMBERED_MS),
    }
  }

  fn retention_ms(&self) -> u64 {
    let is_held = self.crashes >= Quarantine::HELD_CRASHES;
    if is_held { Quarantine::REMEMBERED_MS } else { Quarantine::REMEMBERED_ONCE_MS }
  }
}
