use super::*;

/// The answer counts of each backend server of a service, over the last seconds and since the rollout began.
#[derive(Clone, Debug, Default)]
pub(super) struct EvidenceHistory {
  boxes: BTreeMap<BoxId, BoxEvidence>,
}

#[derive(Clone, Debug)]
struct BoxEvidence {
  newest: Evidence,
  received_at: Time,
  /// Earlier tallies with the time they were received, oldest first.
  samples: VecDeque<(Time, Rc<BTreeMap<RouteName, Tally>>)>,
}

impl EvidenceHistory {
  /// The least milliseconds between two retained samples of a box.
  const SAMPLE_INTERVAL_MS: u64 = 250;
  /// Milliseconds for which earlier samples are retained.
  const SAMPLE_RETENTION_MS: u64 = 3_000;

  /// Records the evidence of a box. Returns whether it is new.
  pub(super) fn record_evidence(&mut self, now: Time, evidence: &Evidence) -> bool {
    let Some(known) = self.boxes.get_mut(&evidence.box_id) else {
      let known =
        BoxEvidence { received_at: now, samples: VecDeque::new(), newest: evidence.clone() };
      self.boxes.insert(evidence.box_id.clone(), known);
      return true;
    };
    if !evidence.is_newer_than(&known.newest) {
      return false;
    }
    known.take(now, evidence);
    true
  }

  /// The tallies of each box that runs a version, over the last `window_ms` or since the rollout began if `None`.
  pub(super) fn tallies(
    &self,
    now: Time,
    software: &SoftwareVersion,
    window_ms: Option<u64>,
  ) -> Vec<BTreeMap<RouteName, Tally>> {
    let of_version = self.boxes.values().filter(|known| known.newest.software == *software);
    of_version.map(|known| known.over(now, window_ms)).collect()
  }

  /// Whether evidence of a box came within the last `age_ms`.
  pub(super) fn is_fresh(&self, now: Time, box_id: &BoxId, age_ms: u64) -> bool {
    self.boxes.get(box_id).is_some_and(|known| now.since_ms(known.received_at) <= age_ms)
  }

  /// Failed answers of a box since the rollout began.
  pub(super) fn failures(&self, box_id: &BoxId) -> u32 {
    let tallies = self.boxes.get(box_id).map(|known| known.newest.tallies.values());
    tallies.into_iter().flatten().map(|tally| tally.failures).sum()
  }

  /// Whether a box reported within the last `age_ms` that its backend server runs no requests and will run none.
  pub(super) fn is_closed(&self, now: Time, box_id: &BoxId, age_ms: u64) -> bool {
    self.is_fresh(now, box_id, age_ms) && self.boxes[box_id].newest.closed
  }

  /// Boxes that run a version and sent evidence within the last `age_ms`.
  pub(super) fn fresh_of(&self, now: Time, software: &SoftwareVersion, age_ms: u64) -> Vec<&BoxId> {
    let is_of = |known: &&BoxEvidence| {
      known.newest.software == *software && now.since_ms(known.received_at) <= age_ms
    };
    self.boxes.values().filter(is_of).map(|known| &known.newest.box_id).collect()
  }
}

impl BoxEvidence {
  fn take(&mut self, now: Time, evidence: &Evidence) {
    let before = &self.newest;
    let is_another = before.incarnation != evidence.incarnation
      || before.software != evidence.software
      || before.order_revision != evidence.order_revision;
    if is_another {
      self.samples.clear();
    } else if self
      .samples
      .back()
      .is_none_or(|(at, _)| self.received_at.since_ms(*at) >= EvidenceHistory::SAMPLE_INTERVAL_MS)
    {
      self.samples.push_back((self.received_at, Rc::new(before.tallies.clone())));
    }
    while self
      .samples
      .front()
      .is_some_and(|(at, _)| now.since_ms(*at) > EvidenceHistory::SAMPLE_RETENTION_MS)
    {
      self.samples.pop_front();
    }
    self.received_at = now;
    self.newest = evidence.clone();
  }

  fn over(&self, now: Time, window_ms: Option<u64>) -> BTreeMap<RouteName, Tally> {
    let Some(window_ms) = window_ms else {
      return self.newest.tallies.clone();
    };
    let is_before =
      |(at, _): &&(Time, Rc<BTreeMap<RouteName, Tally>>)| now.since_ms(*at) >= window_ms;
    let Some((_, before)) = self.samples.iter().rev().find(is_before) else {
      return self.newest.tallies.clone();
    };
    let since = |(route, tally): (&RouteName, &Tally)| {
      let earlier = before.get(route).copied().unwrap_or_default();
      (route.clone(), tally.since(&earlier))
    };
    self.newest.tallies.iter().map(since).collect()
  }
}
