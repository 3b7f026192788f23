use super::*;

/// The requests under which processes of backend servers ended, wherever in the fleet, and which of them are held back.
///
/// One crash counts against all that ran at that moment, most of which had no part in it: they go on as before, and
/// each that runs to its end is cleared. What ran in two crashes without any end between them is held for a second and
/// then tried alone, at one box of the fleet. What ends a third process is held for longer each time.
///
/// Without it one request, sent anew every 60 ms, ended 24 processes of four backend servers in the 8 s from three
/// seconds after the third; with it one, the trial after ten seconds (eight real daemons).
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
  /// The findings that each box told last, by their ids.
  heard: BTreeMap<BoxId, Vec<u64>>,
  suspects: BTreeMap<Fingerprint, Suspect>,
  swept_at: Time,
  /// The suspect that the backend server beside this daemon runs on trial.
  trial: Option<Fingerprint>,
}

/// A request under which processes of backend servers ended.
#[derive(Clone, Debug)]
pub struct Suspect {
  /// The boxes of the last crashes, oldest first.
  pub boxes: Vec<BoxId>,
  /// Processes that ended while they ran it, since it last ran to its end.
  pub crashes: u32,
  /// When the last one was heard of.
  pub last_crash_at: Time,
  /// When the round began that is on.
  round_at: Time,
  /// Rounds of crashes from the third one on, each but the first one begun by a trial.
  rounds: u32,
}

/// What a finding changed, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineChange {
  /// A request that was held back ran to its end.
  Cleared(Fingerprint),
  /// A request is held back, for so many processes ended while they ran it.
  Held(Fingerprint, u32),
}

impl Quarantine {
  /// Boxes of crashes that are remembered for operators: enough to find the log lines of the first ones.
  const BOXES_MAX: usize = 4;
  /// Crashes from which a request is held back. With six backend servers one in five of those that only ran beside
  /// the cause is in both of two crashes, for it was tried again where that one was.
  const HELD_CRASHES: u32 = 2;
  /// Milliseconds for which a request of two crashes is held: until the whole fleet has heard of them. Callers that
  /// wait for a few seconds still get their answer after that.
  const HOLD_FIRST_MS: u64 = 1_000;
  /// Milliseconds for which a request is held once it ended a third process, by round. Each trial may cost a backend
  /// server all that it runs, and some seconds.
  const HOLDS_MS: [u64; 3] = [10_000, 60_000, 300_000];
  /// Milliseconds within which crashes belong to one round: those that were under way before the fleet knew.
  const ROUND_MS: u64 = 3_000;
  /// Milliseconds after its last crash for which a request is remembered. What nobody sends for so long may come anew.
  const REMEMBERED_MS: u64 = 3_600_000;
  /// Milliseconds for which a request of one crash is remembered: longer than its caller would wait to send it again.
  const REMEMBERED_ONCE_MS: u64 = 600_000;
  /// Milliseconds after which a request comes again whose trial box is at work on another one.
  const TRIAL_RETRY_MS: u64 = 300;
  /// Milliseconds between two sweeps.
  const SWEEP_MS: u64 = 5_000;
  /// Suspects that are remembered, at 200 bytes each by their fields. Beyond that those of the fewest crashes go first.
  const SUSPECTS_MAX: usize = 4_096;

  /// Takes in what boxes found that was not heard before. Returns what changed by it.
  pub fn hear<'a>(
    &mut self,
    now: Time,
    endpoints: impl Iterator<Item = &'a Endpoint>,
  ) -> Vec<QuarantineChange> {
    self.sweep(now);
    let fresh: Vec<(&BoxId, &RunFinding)> = endpoints.flat_map(|one| self.unheard(one)).collect();
    let mut changes = Vec::new();
    // A daemon that starts hears all at once, in no order: what ran to its end anywhere is cleared.
    for (box_id, finding) in &fresh {
      if let RunOutcome::Crashed(suspects) = &finding.outcome {
        changes
          .extend(suspects.iter().filter_map(|suspect| self.count_crash(now, box_id, *suspect)));
      }
    }
    for (_, finding) in &fresh {
      if let RunOutcome::Survived(survivors) = &finding.outcome {
        changes.extend(survivors.iter().filter_map(|survivor| self.clear(*survivor)));
      }
    }
    changes
  }

  /// The findings of a box that it did not tell before.
  fn unheard<'a>(&mut self, endpoint: &'a Endpoint) -> Vec<(&'a BoxId, &'a RunFinding)> {
    let box_id = &endpoint.peer.box_id;
    if endpoint.findings.is_empty() && !self.heard.contains_key(box_id) {
      return Vec::new();
    }
    let ids: Vec<u64> = endpoint.findings.iter().map(|finding| finding.id).collect();
    let heard = self.heard.insert(box_id.clone(), ids).unwrap_or_default();
    let fresh = endpoint.findings.iter().filter(|finding| !heard.contains(&finding.id));
    fresh.map(|finding| (box_id, finding)).collect()
  }

  /// Forgets what was heard of boxes that nobody knows any more.
  pub fn retain(&mut self, is_known: impl Fn(&BoxId) -> bool) {
    self.heard.retain(|box_id, _| is_known(box_id));
  }

  fn count_crash(
    &mut self,
    now: Time,
    box_id: &BoxId,
    fingerprint: Fingerprint,
  ) -> Option<QuarantineChange> {
    let fresh =
      Suspect { boxes: Vec::new(), crashes: 0, last_crash_at: now, round_at: now, rounds: 0 };
    let suspect = self.suspects.entry(fingerprint).or_insert(fresh);
    suspect.crashes = suspect.crashes.saturating_add(1);
    suspect.last_crash_at = now;
    if suspect.boxes.len() == Self::BOXES_MAX {
      suspect.boxes.remove(0);
    }
    suspect.boxes.push(box_id.clone());
    let is_in_round = suspect.rounds > 0 && now.since_ms(suspect.round_at) < Self::ROUND_MS;
    if suspect.crashes > Self::HELD_CRASHES && !is_in_round {
      suspect.round_at = now;
      suspect.rounds = suspect.rounds.saturating_add(1);
    }
    let crashes = suspect.crashes;
    (crashes >= Self::HELD_CRASHES).then_some(QuarantineChange::Held(fingerprint, crashes))
  }

  fn clear(&mut self, fingerprint: Fingerprint) -> Option<QuarantineChange> {
    let cleared = self.suspects.remove(&fingerprint)?;
    let was_held = cleared.crashes >= Self::HELD_CRASHES;
    was_held.then_some(QuarantineChange::Cleared(fingerprint))
  }

  /// Whether a request is suspected of anything, so that its whole run clears it.
  pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
    self.suspects.contains_key(&fingerprint)
  }

  /// Whether a request may be sent.
  pub fn standing(&self, now: Time, fingerprint: Fingerprint) -> Standing {
    let suspect = self.suspects.get(&fingerprint);
    let Some(suspect) = suspect.filter(|suspect| suspect.crashes >= Self::HELD_CRASHES) else {
      return Standing::Free;
    };
    let left_ms = suspect.hold_ms().saturating_sub(now.since_ms(suspect.last_crash_at));
    if left_ms == 0 {
      return Standing::OnTrial;
    }
    Standing::Held { crashes: suspect.crashes, retry_after_ms: left_ms }
  }

  /// The box at which a request may be tried: the same one wherever it is asked for, as far as the same boxes
  /// are known.
  pub fn trial_box<'a>(
    fingerprint: Fingerprint,
    candidates: impl Iterator<Item = &'a BoxId>,
  ) -> Option<&'a BoxId> {
    candidates
      .max_by_key(|box_id| Digest::of(format!("{fingerprint} {box_id}").as_bytes()).prefix())
  }

  /// Begins a run at the backend server beside this daemon. A request on trial may run only where its trial box is
  /// this one, also where whoever sent it knew nothing of it, and alone among its like;
  /// [`Quarantine::trial_ended`] follows.
  pub fn begin_run(
    &mut self,
    now: Time,
    fingerprint: Fingerprint,
    is_trial_box: impl FnOnce() -> bool,
  ) -> Standing {
    let standing = self.standing(now, fingerprint);
    if standing != Standing::OnTrial {
      return standing;
    }
    if self.trial.is_some() || !is_trial_box() {
      let crashes = self.suspects.get(&fingerprint).map_or(0, |suspect| suspect.crashes);
      return Standing::Held { crashes, retry_after_ms: Self::TRIAL_RETRY_MS };
    }
    self.trial = Some(fingerprint);
    standing
  }

  /// The run of a request on trial is over.
  pub fn trial_ended(&mut self, fingerprint: Fingerprint) {
    self.trial.take_if(|trial| *trial == fingerprint);
  }

  fn sweep(&mut self, now: Time) {
    let is_full = self.suspects.len() > Self::SUSPECTS_MAX;
    if !is_full && now.since_ms(self.swept_at) < Self::SWEEP_MS {
      return;
    }
    self.swept_at = now;
    self.suspects.retain(|_, suspect| now.since_ms(suspect.last_crash_at) < suspect.kept_ms());
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

  /// How many requests are held back or on trial.
  pub fn held(&self) -> usize {
    self.suspects.values().filter(|suspect| suspect.crashes >= Self::HELD_CRASHES).count()
  }

  /// All requests under which processes ended.
  pub fn suspects(&self) -> impl Iterator<Item = (Fingerprint, &Suspect)> {
    self.suspects.iter().map(|(fingerprint, suspect)| (*fingerprint, suspect))
  }

  /// Requests that are remembered.
  pub fn len(&self) -> usize {
    self.suspects.len()
  }

  /// Whether no request is suspected.
  pub fn is_empty(&self) -> bool {
    self.suspects.is_empty()
  }
}

impl Suspect {
  /// Milliseconds for which it is held after its last crash. After the last trial it stays held.
  fn hold_ms(&self) -> u64 {
    match (self.rounds as usize).checked_sub(1) {
      None => Quarantine::HOLD_FIRST_MS,
      Some(round) => Quarantine::HOLDS_MS.get(round).copied().unwrap_or(Quarantine::REMEMBERED_MS),
    }
  }

  fn kept_ms(&self) -> u64 {
    let is_held = self.crashes >= Quarantine::HELD_CRASHES;
    if is_held { Quarantine::REMEMBERED_MS } else { Quarantine::REMEMBERED_ONCE_MS }
  }
}
