use super::*;

mod deciding;
mod storing;

pub(super) use self::storing::read_record;

/// The rollout of one service as known to this box.
///
/// One box decides at a time; the record names it. Every step is written to the store by compare-and-swap before it
/// takes effect, so two boxes that both act as decider can neither advance independently nor reach two different
/// ends. A halt doesn't need the store: it spreads over the links at once and takes precedence over every step.
#[derive(Clone, Debug)]
pub struct Rollout {
  /// What blocked the next step at the last check, if this box is the decider.
  blocked_by: Option<&'static str>,
  call: Option<PendingCall>,
  /// When the last update came from the decider or the store.
  decider_seen_at: Time,
  evidence: EvidenceHistory,
  /// The decider's last heartbeat counter for the record.
  heartbeat: u64,
  heartbeat_at: Time,
  /// Whether the store's record must be checked because the store was restored from a copy.
  must_check_store: bool,
  /// The newest order that has no record yet, with its revision.
  order: Option<(Order, Revision)>,
  /// When the order was first known.
  ordered_at: Time,
  record: Option<Record>,
  /// When the next store call may be made after a failure.
  retry_at: Time,
  service: ServiceName,
  stage_since: Time,
  stored: Stored,
}

impl Rollout {
  /// Milliseconds between heartbeats of the decider.
  const HEARTBEAT_INTERVAL_MS: u64 = 400;
  /// Milliseconds without a heartbeat, about three intervals, after which the next box takes over.
  const DECIDER_TIMEOUT_MS: u64 = 1_300;
  /// Milliseconds that each box waits longer than the box ranked before it.
  const RANK_DELAY_MS: u64 = 500;
  /// Milliseconds before a failed store call is retried.
  const RETRY_MS: u64 = 200;
  /// Milliseconds for which a box's evidence is current. Covers several reports and a change of the box's links.
  const EVIDENCE_MAX_AGE_MS: u64 = 1_200;
  /// Milliseconds after which a box of the old version without evidence counts as partitioned or dead.
  const SILENT_BOX_MS: u64 = 3_000;
  /// The least milliseconds that a canary step lasts, so that answers from it arrive.
  const STEP_MIN_MS: u64 = 600;
  /// The windows in milliseconds over which versions are compared; `None` is the whole rollout. A version that has
  /// just become bad doesn't stand out among many earlier answers, so short windows are checked too.
  const WINDOWS_MS: [Option<u64>; 3] = [Some(1_000), Some(2_500), None];
  /// The fraction of the old version's slots that the new one needs before it gets its first requests.
  const SLOTS_FIRST: f64 = 0.25;
  /// The fraction of the old version's slots that the new one needs before it gets most requests.
  const SLOTS_MOST: f64 = 0.75;
  /// The fraction of the exposure limit that the new version may have received before its share grows.
  const EXPOSURE_MAX_FRACTION: f64 = 0.6;

  /// A rollout of which nothing is known yet.
  pub fn new(now: Time, service: ServiceName) -> Self {
    Self {
      heartbeat: 0,
      heartbeat_at: now,
      call: None,
      decider_seen_at: now,
      evidence: EvidenceHistory::default(),
      blocked_by: None,
      must_check_store: false,
      order: None,
      ordered_at: now,
      record: None,
      retry_at: now,
      service,
      stage_since: now,
      stored: Stored::Unknown,
    }
  }

  /// The newest known record.
  pub fn record(&self) -> Option<&Record> {
    self.record.as_ref()
  }

  /// Milliseconds since the order.
  pub fn age_ms(&self, now: Time) -> u64 {
    now.since_ms(self.ordered_at)
  }

  /// What blocks the next step, if this box is the decider.
  pub fn blocked_by(&self) -> Option<&'static str> {
    self.blocked_by
  }

  /// The tallies of a version since the order, by route, as far as this box has received them.
  pub fn tallies(&self, now: Time, software: &SoftwareVersion) -> BTreeMap<RouteName, Tally> {
    let mut seen: BTreeMap<RouteName, Tally> = BTreeMap::new();
    for (route, tally) in self.evidence.tallies(now, software, None).into_iter().flatten() {
      *seen.entry(route).or_default() += tally;
    }
    seen
  }

  /// Handles an operator's order read from the store.
  pub(super) fn order_found(&mut self, now: Time, order: &Order, revision: Revision) {
    let is_known = self.order.as_ref().is_some_and(|(_, known)| *known >= revision)
      || self.record.as_ref().is_some_and(|record| record.is_of(order, revision));
    if is_known {
      return;
    }
    self.order = Some((order.clone(), revision));
    self.ordered_at = now;
    self.decider_seen_at = now;
  }

  /// Handles the removal of the order from the store by halting its rollout.
  pub(super) fn order_withdrawn(&mut self, now: Time) -> Vec<RolloutAction> {
    self.order = None;
    match self.open_record().cloned() {
      Some(record) => self.halt(now, &record, "the order was withdrawn".into()),
      None => Vec::new(),
    }
  }

  /// Handles a record read from the store; `None` if the entry could not be decoded.
  pub(super) fn record_found(
    &mut self,
    now: Time,
    unix_ms: u64,
    record: Option<Record>,
    revision: Revision,
  ) -> Vec<RolloutAction> {
    let is_older = matches!(&self.stored, Stored::Present(_, known) if *known > revision);
    if !is_older && self.call.is_none() {
      self.stored = Stored::Present(record.clone(), revision);
    }
    let Some(record) = record else {
      return Vec::new();
    };
    let age_ms = unix_ms.saturating_sub(record.ordered_unix_ms);
    self.adopt(now, age_ms, record)
  }

  /// Handles a status update from another box. Returns whether it is new.
  pub(super) fn update_received(
    &mut self,
    now: Time,
    update: &RolloutUpdate,
  ) -> (bool, Vec<RolloutAction>) {
    let is_same = self.record.as_ref() == Some(&update.record);
    if is_same && update.heartbeat > self.heartbeat {
      self.heartbeat = update.heartbeat;
      self.decider_seen_at = now;
      return (true, Vec::new());
    }
    let known = self.record.as_ref();
    let is_new = known.is_none_or(|known| update.record.is_newer_than(known));
    if is_new {
      self.heartbeat = update.heartbeat;
    }
    (is_new, self.adopt(now, update.age_ms, update.record.clone()))
  }

  /// Adopts a record if it is newer, and sends it to the neighbours.
  fn adopt(&mut self, now: Time, age_ms: u64, record: Record) -> Vec<RolloutAction> {
    if self.record.as_ref().is_some_and(|known| !record.is_newer_than(known)) {
      return Vec::new();
    }
    let is_another = self.record.as_ref().is_none_or(|known| known.order != record.order);
    if is_another || self.order.is_none() {
      self.ordered_at = self.ordered_at.min(Time(now.0.saturating_sub(age_ms)));
    }
    if self.record.as_ref().is_none_or(|known| known.order_revision != record.order_revision) {
      self.evidence = EvidenceHistory::default();
      self.ordered_at = Time(now.0.saturating_sub(age_ms));
    }
    let is_done = |(order, revision): &(Order, Revision)| {
      record.is_of(order, *revision) || record.order_revision > *revision
    };
    self.order.take_if(|order| is_done(order));
    self.decider_seen_at = now;
    self.blocked_by = None;
    self.stage_since = now;
    let text = format!(
      "rollout of {} to {}, step {} by {}, {} ms after its order: {}",
      self.service,
      record.order.target,
      record.step,
      record.decider,
      now.since_ms(self.ordered_at),
      record.stage
    );
    self.record = Some(record);
    vec![RolloutAction::Log(text), RolloutAction::TrafficChanged, self.broadcast(now)]
  }

  /// Returns the update to send to neighbours.
  pub(super) fn update(&self, now: Time) -> Option<RolloutUpdate> {
    let record = self.record.clone()?;
    Some(RolloutUpdate { age_ms: now.since_ms(self.ordered_at), heartbeat: self.heartbeat, record })
  }

  fn broadcast(&self, now: Time) -> RolloutAction {
    RolloutAction::Broadcast(self.update(now).expect("there is a record"))
  }

  /// Handles the answer counts of a backend server. Returns whether they are new.
  pub(super) fn evidence_received(&mut self, now: Time, evidence: &Evidence) -> bool {
    let is_of =
      self.open_record().is_some_and(|record| record.order_revision == evidence.order_revision);
    is_of && self.evidence.record_evidence(now, evidence)
  }

  /// The record, if the rollout is in progress.
  pub(super) fn open_record(&self) -> Option<&Record> {
    self.record.as_ref().filter(|record| !record.stage.is_final())
  }

  /// Whether the rollout needs work.
  pub(super) fn is_active(&self) -> bool {
    self.open_record().is_some() || self.order.is_some() || self.must_check_store
  }

  /// Handles the restoration of the store from a copy: its contents must be read again.
  pub(super) fn store_restored(&mut self) {
    self.call = None;
    self.must_check_store = self.record.is_some();
    self.stored = Stored::Unknown;
  }

  /// Advances to the time of `view`. `in_force` is the version in force without a rollout.
  pub(super) fn tick(
    &mut self,
    view: &FleetView,
    in_force: Option<&SoftwareVersion>,
  ) -> Vec<RolloutAction> {
    let now = view.now;
    let mut actions = Vec::new();
    if let Some(record) = self.open_record().cloned() {
      actions.extend(self.tick_open(view, &record));
    }
    let Some(rank) = view.rank.filter(|_| self.call.is_none() && now >= self.retry_at) else {
      return actions;
    };
    let is_turn = |since: Time| now.since_ms(since) >= rank * Self::RANK_DELAY_MS;
    if let Some((order, revision)) = self.order.clone().filter(|_| is_turn(self.ordered_at)) {
      actions.extend(self.begin(view, in_force, order, revision));
    } else if self.must_check_store && is_turn(self.decider_seen_at) {
      actions.extend(self.restore());
    }
    actions
  }

  fn tick_open(&mut self, view: &FleetView, record: &Record) -> Vec<RolloutAction> {
    let now = view.now;
    if let Some(reason) = self.find_fault(now, record).filter(|_| view.receives_all_evidence) {
      // Any box may halt: halting a good version costs less than waiting for the decider.
      return self.halt(now, record, reason);
    }
    // A decider that can't write to the store sends no heartbeats, so that another box takes over.
    let is_own = record.decider == *view.own_box && view.rank.is_some();
    let mut actions = Vec::new();
    if is_own && now.since_ms(self.heartbeat_at) >= Self::HEARTBEAT_INTERVAL_MS {
      self.heartbeat += 1;
      self.heartbeat_at = now;
      self.decider_seen_at = now;
      actions.push(self.broadcast(now));
    }
    if self.call.is_some() || now < self.retry_at {
      return actions;
    }
    if is_own {
      match self.next_stage(view, record) {
        Ok(stage) => actions.extend(self.propose(record.next(stage))),
        Err(reason) => actions.extend(self.log_blocked(now, reason)),
      }
    } else if let Some(rank) = view.rank
      && now.since_ms(self.decider_seen_at) >= Self::DECIDER_TIMEOUT_MS + rank * Self::RANK_DELAY_MS
    {
      actions.push(RolloutAction::Log(format!(
        "rollout of {}: no heartbeat from decider {}, this box takes over",
        self.service, record.decider
      )));
      let decider = view.own_box.clone();
      actions.extend(self.propose(Record { decider, ..record.next(record.stage.clone()) }));
    }
    actions
  }

  /// Logs what blocks the next step if the reason has changed.
  fn log_blocked(&mut self, now: Time, reason: &'static str) -> Option<RolloutAction> {
    if self.blocked_by.replace(reason) == Some(reason) {
      return None;
    }
    let (service, age_ms) = (&self.service, self.age_ms(now));
    let text = format!("rollout of {service} is waiting, {age_ms} ms after its order: {reason}");
    Some(RolloutAction::Log(text))
  }

  /// Stops requests to the new version on every box that receives the record.
  fn halt(&mut self, now: Time, record: &Record, reason: String) -> Vec<RolloutAction> {
    let halted = record.next(Stage::Halted { reason });
    let age_ms = now.since_ms(self.ordered_at);
    self.adopt(now, age_ms, halted)
  }
}
