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
/// the third crash are limited in any case, also those that end without a result.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
  /// The last crashes, with the requests that ran, oldest first.
  recent: VecDeque<(Time, Vec<Fingerprint>)>,
  /// Ids of the findings that each box last reported.
  reported: BTreeMap<BoxId, Vec<u64>>,
  /// When the first findings came.
  started_at: Option<Time>,
  suspects: BTreeMap<Fingerprint, Suspect>,
  swept_at: Time,
  /// The suspect that the local backend server runs on trial.
  trial: Option<Fingerprint>,
  /// Until when no trial begins here, as the last one may have crashed the process.
  trials_from: Time,
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
  /// Milliseconds after the first findings within which those of the whole fleet come, old ones too.
  const START_MS: u64 = 2_000;
  /// Most recent crashes remembered.
  const RECENT_MAX: usize = 64;
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
    let started_at = *self.started_at.get_or_insert(now);
    let fresh: Vec<(&BoxId, &RunFinding)> =
      endpoints.flat_map(|one| self.new_findings(one)).collect();
    let mut changes = Vec::new();
    // A daemon that starts receives all findings at once, unordered. Crashes are counted first, so
    // that a completed run anywhere clears a request.
    for (box_id, finding) in &fresh {
      if let RunOutcome::Crashed(suspects) = &finding.outcome {
        changes
          .extend(suspects.iter().filter_map(|suspect| self.count_crash(now, box_id, *suspect)));
        if now.since_ms(started_at) >= Self::START_MS {
          self.record_crash(now, suspects);
        }
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
      now.since_ms(*at) < Suspect::SPELL_MS && !ran.contains(&fingerprint)
    };
    let other_crashes = self.recent.iter().filter(without).count();
    let suspect = self.suspects.entry(fingerprint).or_insert_with(|| Suspect::new(now));
    suspect.other_crashes = u32::try_from(other_crashes).unwrap_or(u32::MAX);
    suspect.crash(now, box_id);
    let crashes = suspect.crashes;
    (crashes >= Suspect::HELD_CRASHES).then_some(QuarantineChange::Held(fingerprint, crashes))
  }

  /// Records a crash of a process that ran these requests, or none.
  fn record_crash(&mut self, now: Time, ran: &[Fingerprint]) {
    if self.recent.len() == Self::RECENT_MAX {
      self.recent.pop_front();
    }
    self.recent.push_back((now, ran.to_vec()));
    for (fingerprint, suspect) in &mut self.suspects {
      if now.since_ms(suspect.last_crash_at) < Suspect::SPELL_MS && !ran.contains(fingerprint) {
        suspect.other_crashes = suspect.other_crashes.saturating_add(1);
      }
    }
  }

  fn clear(&mut self, fingerprint: Fingerprint) -> Option<QuarantineChange> {
    let cleared = self.suspects.remove(&fingerprint)?;
    let was_held = cleared.crashes >= Suspect::HELD_CRASHES;
    was_held.then_some(QuarantineChange::Cleared(fingerprint))
  }

  /// Whether a request is a suspect, so that its completed run has to be reported.
  pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
    self.suspects.contains_key(&fingerprint)
  }

  /// Returns whether a request may be sent.
  pub fn status(&self, now: Time, fingerprint: Fingerprint) -> QuarantineStatus {
    let suspect = self.suspects.get(&fingerprint);
    let Some(suspect) = suspect.filter(|suspect| suspect.crashes >= Suspect::HELD_CRASHES) else {
      return QuarantineStatus::Allowed;
    };
    let left_ms = suspect.left_ms(now);
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
      if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
        suspect.fail_trial(now);
      }
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
    self.suspects.values().filter(|suspect| suspect.crashes >= Suspect::HELD_CRASHES).count()
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
