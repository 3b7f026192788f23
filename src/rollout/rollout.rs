use super::*;

use super::fleet_view::slots;

/// The roll-out of one service, as one box knows it.
///
/// One box decides at a time, which the record names. Every step lies in the store before it is taken, written on
/// the condition that nobody else wrote since, so two boxes that both believe to decide cannot go on from each
/// other's back, nor bring about two ends. To halt needs no store: it goes by links at once, and wins over every
/// step.
#[derive(Clone, Debug)]
pub struct Rollout {
  /// The number of the decider's last word on the record.
  beat: u64,
  beat_at: Time,
  call: Option<PendingCall>,
  /// When the decider, or the store, was last heard of.
  decider_heard_at: Time,
  evidence: EvidenceBook,
  /// Why the next step was not taken when this box, which decides, last looked.
  held_up_by: Option<&'static str>,
  /// Whether what the store holds has to be looked at: it came back from a copy.
  is_to_check: bool,
  /// The newest order, with its revision.
  order: Option<(Order, Revision)>,
  /// When the order was heard of.
  ordered_at: Time,
  record: Option<Record>,
  /// When the next call may be made after a failure.
  retry_at: Time,
  service: ServiceName,
  stage_since: Time,
  stored: Stored,
}

impl Rollout {
  /// Milliseconds between two words of the decider.
  const BEAT_MS: u64 = 400;
  /// Milliseconds of silence after which the next box decides: three words of the decider.
  const SILENCE_MS: u64 = 1_300;
  /// Milliseconds that each box waits for the one before it.
  const TURN_MS: u64 = 500;
  /// Milliseconds until a call that failed is made again.
  const RETRY_MS: u64 = 200;
  /// Milliseconds for which a box's word counts: several of them, and a change of its links.
  const EVIDENCE_MS: u64 = 1_200;
  /// Milliseconds after which a box of the old version that says nothing is taken for cut off or dead.
  const SILENT_BOX_MS: u64 = 3_000;
  /// Milliseconds that a rung lasts at least: by then answers tell of it.
  const RUNG_MIN_MS: u64 = 600;
  /// Milliseconds of the windows over which versions are compared, beside the whole time: what turned bad a moment
  /// ago does not show among many answers of before.
  const WINDOWS_MS: [Option<u64>; 3] = [Some(1_000), Some(2_500), None];
  /// The part of the old version's slots that the new one needs before it gets its first requests.
  const SLOTS_FIRST: f64 = 0.25;
  /// The part of the old version's slots that the new one needs before it gets most requests.
  const SLOTS_MOST: f64 = 0.75;
  /// The part of what a bad version may receive that it may have received before the shares grow.
  const EXPOSED_PART: f64 = 0.6;

  /// Nothing is known of the service's roll-outs yet.
  pub fn new(now: Time, service: ServiceName) -> Self {
    Self {
      beat: 0,
      beat_at: now,
      call: None,
      decider_heard_at: now,
      evidence: EvidenceBook::default(),
      held_up_by: None,
      is_to_check: false,
      order: None,
      ordered_at: now,
      record: None,
      retry_at: now,
      service,
      stage_since: now,
      stored: Stored::Unknown,
    }
  }

  /// Where the roll-out stands.
  pub fn record(&self) -> Option<&Record> {
    self.record.as_ref()
  }

  /// Milliseconds since the order.
  pub fn age_ms(&self, now: Time) -> u64 {
    now.since_ms(self.ordered_at)
  }

  /// Why the next step is not taken yet, where this box decides.
  pub fn held_up_by(&self) -> Option<&'static str> {
    self.held_up_by
  }

  /// What the answers of a version came to since the order, by route, as far as this box heard of it.
  pub fn seen(&self, now: Time, software: &SoftwareVersion) -> BTreeMap<RouteName, Tally> {
    let mut seen: BTreeMap<RouteName, Tally> = BTreeMap::new();
    for (route, tally) in self.evidence.tallies(now, software, None).into_iter().flatten() {
      *seen.entry(route).or_default() += tally;
    }
    seen
  }

  /// An operator's order was found in the store.
  pub(super) fn ordered(&mut self, now: Time, order: &Order, revision: Revision) {
    let is_known = self.order.as_ref().is_some_and(|(_, known)| *known >= revision)
      || self.record.as_ref().is_some_and(|record| record.is_of(order, revision));
    if is_known {
      return;
    }
    self.order = Some((order.clone(), revision));
    self.ordered_at = now;
    self.decider_heard_at = now;
  }

  /// The order was taken out of the store: what it began is undone.
  pub(super) fn withdrawn(&mut self, now: Time) -> Vec<RolloutAction> {
    self.order = None;
    match self.open_record().cloned() {
      Some(record) => self.halt(now, &record, "the order was withdrawn".into()),
      None => Vec::new(),
    }
  }

  /// A record was found in the store, or what stands there cannot be read.
  pub(super) fn found(
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

  /// Another box told where the roll-out stands. Returns whether that was new here.
  pub(super) fn heard(&mut self, now: Time, word: &Word) -> (bool, Vec<RolloutAction>) {
    let is_same = self.record.as_ref() == Some(&word.record);
    if is_same && word.beat > self.beat {
      self.beat = word.beat;
      self.decider_heard_at = now;
      return (true, Vec::new());
    }
    let known = self.record.as_ref();
    let is_new = known.is_none_or(|known| word.record.is_newer_than(known));
    if is_new {
      self.beat = word.beat;
    }
    (is_new, self.adopt(now, word.age_ms, word.record.clone()))
  }

  /// Takes over a record where it is newer, and tells the neighbours.
  fn adopt(&mut self, now: Time, age_ms: u64, record: Record) -> Vec<RolloutAction> {
    if self.record.as_ref().is_some_and(|known| !record.is_newer_than(known)) {
      return Vec::new();
    }
    let is_another = self.record.as_ref().is_none_or(|known| known.order != record.order);
    if is_another || self.order.is_none() {
      self.ordered_at = self.ordered_at.min(Time(now.0.saturating_sub(age_ms)));
    }
    if self.record.as_ref().is_none_or(|known| known.ordered_at != record.ordered_at) {
      self.evidence = EvidenceBook::default();
      self.ordered_at = Time(now.0.saturating_sub(age_ms));
    }
    let is_done = |(order, revision): &(Order, Revision)| {
      record.is_of(order, *revision) || record.ordered_at > *revision
    };
    self.order.take_if(|order| is_done(order));
    self.decider_heard_at = now;
    self.held_up_by = None;
    self.stage_since = now;
    let text = format!(
      "roll-out of {} to {}, step {} by {}, {} ms after its order: {}",
      self.service,
      record.order.target,
      record.step,
      record.decider,
      now.since_ms(self.ordered_at),
      record.stage
    );
    self.record = Some(record);
    vec![RolloutAction::Log(text), RolloutAction::Changed, self.spread(now)]
  }

  /// What neighbours are told.
  pub(super) fn word(&self, now: Time) -> Option<Word> {
    let record = self.record.clone()?;
    Some(Word { age_ms: now.since_ms(self.ordered_at), beat: self.beat, record })
  }

  fn spread(&self, now: Time) -> RolloutAction {
    RolloutAction::Spread(self.word(now).expect("there is a record"))
  }

  /// The daemon beside a backend server told of its answers. Returns whether that was new here.
  pub(super) fn observed(&mut self, now: Time, evidence: &Evidence) -> bool {
    let is_of = self.open_record().is_some_and(|record| record.ordered_at == evidence.ordered_at);
    is_of && self.evidence.hear(now, evidence)
  }

  /// The record of a roll-out that goes on.
  pub(super) fn open_record(&self) -> Option<&Record> {
    self.record.as_ref().filter(|record| !record.stage.is_final())
  }

  /// Whether something has to be done.
  pub(super) fn is_at_work(&self) -> bool {
    self.open_record().is_some() || self.order.is_some() || self.is_to_check
  }

  /// The store came back from a copy: what it holds has to be read.
  pub(super) fn store_went_back(&mut self) {
    self.call = None;
    self.is_to_check = self.record.is_some();
    self.stored = Stored::Unknown;
  }

  /// Lets time pass. `in_force` is the version that is in force where no roll-out goes on.
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
    let is_turn = |since: Time| now.since_ms(since) >= rank * Self::TURN_MS;
    if let Some((order, revision)) = self.order.clone().filter(|_| is_turn(self.ordered_at)) {
      actions.extend(self.begin(view, in_force, order, revision));
    } else if self.is_to_check && is_turn(self.decider_heard_at) {
      actions.extend(self.restore());
    }
    actions
  }

  /// Writes the first record of an order.
  fn begin(
    &mut self,
    view: &FleetView,
    in_force: Option<&SoftwareVersion>,
    order: Order,
    revision: Revision,
  ) -> Option<RolloutAction> {
    let base = in_force.cloned().or_else(|| view.usual_version(Some(&order.target)));
    let age_ms = view.now.since_ms(self.ordered_at);
    let is_in_force = base.as_ref() == Some(&order.target);
    self.propose(Record {
      base,
      decider: view.own_box.clone(),
      order,
      ordered_at: revision,
      ordered_unix_ms: view.unix_ms.saturating_sub(age_ms),
      stage: if is_in_force { Stage::Completed } else { Stage::Waiting },
      step: 1,
    })
  }

  /// Writes the record again that the store lost.
  fn restore(&mut self) -> Option<RolloutAction> {
    let held = self.record.clone()?;
    let is_held = |stored: &Option<Record>| {
      stored.as_ref().is_some_and(|stored| *stored == held || stored.is_newer_than(&held))
    };
    if matches!(&self.stored, Stored::Present(stored, _) if is_held(stored)) {
      self.is_to_check = false;
      return None;
    }
    self.propose(held)
  }

  fn tick_open(&mut self, view: &FleetView, record: &Record) -> Vec<RolloutAction> {
    let now = view.now;
    if let Some(reason) = self.why_bad(now, record) {
      // Whoever sees it says so: to halt a good version costs less than to wait for one box.
      return self.halt(now, record, reason);
    }
    // A box that cannot write is silent, so that another one decides.
    let is_own = record.decider == *view.own_box && view.rank.is_some();
    let mut actions = Vec::new();
    if is_own && now.since_ms(self.beat_at) >= Self::BEAT_MS {
      self.beat += 1;
      self.beat_at = now;
      self.decider_heard_at = now;
      actions.push(self.spread(now));
    }
    if self.call.is_some() || now < self.retry_at {
      return actions;
    }
    if is_own {
      match self.next_stage(view, record) {
        Ok(stage) => actions.extend(self.propose(record.next(stage))),
        Err(reason) => actions.extend(self.note_held_up(now, reason)),
      }
    } else if let Some(rank) = view.rank
      && now.since_ms(self.decider_heard_at) >= Self::SILENCE_MS + rank * Self::TURN_MS
    {
      actions.push(RolloutAction::Log(format!(
        "roll-out of {}: its decider {} is silent, and this box takes its place",
        self.service, record.decider
      )));
      let decider = view.own_box.clone();
      actions.extend(self.propose(Record { decider, ..record.next(record.stage.clone()) }));
    }
    actions
  }

  /// Tells the log why the next step is not taken, where that is another reason than before.
  fn note_held_up(&mut self, now: Time, reason: &'static str) -> Option<RolloutAction> {
    if self.held_up_by.replace(reason) == Some(reason) {
      return None;
    }
    let (service, age_ms) = (&self.service, self.age_ms(now));
    let text =
      format!("roll-out of {service} goes no further yet, {age_ms} ms after its order: {reason}");
    Some(RolloutAction::Log(text))
  }

  /// Nothing goes to the new version from now on, wherever this is heard.
  fn halt(&mut self, now: Time, record: &Record, reason: String) -> Vec<RolloutAction> {
    let halted = record.next(Stage::Halted { reason });
    let age_ms = now.since_ms(self.ordered_at);
    self.adopt(now, age_ms, halted)
  }

  /// Why the new version is known to be bad.
  fn why_bad(&self, now: Time, record: &Record) -> Option<String> {
    if record.stage.permille() == 0 {
      return None;
    }
    let base = record.base.as_ref()?;
    Self::WINDOWS_MS.into_iter().find_map(|window_ms| {
      // Once all requests go to the new version, only what was seen before tells of the old one.
      let base_window_ms = window_ms.filter(|_| record.stage != Stage::Full);
      let base = self.evidence.tallies(now, base, base_window_ms);
      let target = self.evidence.tallies(now, &record.order.target, window_ms);
      judge(&base, &target, base_window_ms.is_some())
    })
  }

  /// The next stage, or what holds the roll-out up.
  fn next_stage(&self, view: &FleetView, record: &Record) -> Result<Stage, &'static str> {
    let target = view.live(&record.order.target);
    match &record.stage {
      Stage::Canary(canary) => self.after_rung(view, record, canary, &target),
      Stage::Full if self.is_old_version_idle(view, record) => Ok(Stage::Completed),
      Stage::Full => Err("requests still run at the old version"),
      Stage::Halted { reason } => Ok(Stage::RolledBack { reason: reason.clone() }),
      Stage::Waiting => self.first_rung(view, record, &target),
      Stage::Completed | Stage::RolledBack { .. } => Err("it is over"),
    }
  }

  fn first_rung(
    &self,
    view: &FleetView,
    record: &Record,
    target: &[&Endpoint],
  ) -> Result<Stage, &'static str> {
    if has_room(view, record, target, Self::SLOTS_FIRST) {
      return Ok(Stage::Canary(Rung::canary(0, target)));
    }
    let is_over = view.now.since_ms(self.ordered_at) >= record.order.duration_ms;
    if is_over && target.is_empty() {
      let reason = "no backend server of that version took work in time".into();
      return Ok(Stage::RolledBack { reason });
    }
    Err("too few backend servers of the new version take work")
  }

  fn after_rung(
    &self,
    view: &FleetView,
    record: &Record,
    canary: &Canary,
    target: &[&Endpoint],
  ) -> Result<Stage, &'static str> {
    // The first rungs need few of the new backend servers, the others as many as all requests need.
    let needs_room = canary.rung > 0;
    if !self.is_rung_over(view.now, record, canary) {
      return Err("this share has not lasted its time");
    }
    if !self.is_seen(view.now, target) {
      return Err("too few boxes of the new version tell of its answers");
    }
    if needs_room && !self.has_most_slots(view, record, target) {
      return Err("the new version has too few slots for most requests");
    }
    // Beyond the rungs that show a bad version, to wait would only expose it more.
    if canary.rung + 1 == Rung::FIRST_LARGE && !self.may_be_exposed(view, record) {
      return Err("the new version has received as much as a bad one may");
    }
    let is_last = canary.rung + 1 >= Rung::ALL.len();
    let next = || Stage::Canary(Rung::canary(canary.rung + 1, target));
    Ok(if is_last { Stage::Full } else { next() })
  }

  fn is_rung_over(&self, now: Time, record: &Record, canary: &Canary) -> bool {
    #[allow(clippy::cast_precision_loss)]
    let until_ms = record.order.duration_ms as f64 * Rung::ALL[canary.rung].until_part;
    #[allow(clippy::cast_precision_loss)]
    let elapsed_ms = now.since_ms(self.ordered_at) as f64;
    elapsed_ms >= until_ms && now.since_ms(self.stage_since) >= Self::RUNG_MIN_MS
  }

  /// Whether most boxes of the new version were heard of lately: otherwise nobody would see it turn bad.
  fn is_seen(&self, now: Time, target: &[&Endpoint]) -> bool {
    let is_fresh =
      |endpoint: &&&Endpoint| self.evidence.is_fresh(now, &endpoint.peer.box_id, Self::EVIDENCE_MS);
    let fresh = target.iter().filter(is_fresh).count();
    !target.is_empty() && fresh * 4 >= target.len() * 3
  }

  /// Whether the new version can take most requests. Boxes of the old one that are gone without a word stay in the
  /// directory for a while; those that live tell of their answers.
  fn has_most_slots(&self, view: &FleetView, record: &Record, target: &[&Endpoint]) -> bool {
    let old = record.base.as_ref().map_or_else(Vec::new, |base| view.live(base));
    let lives = |endpoint: &&&Endpoint| {
      self.evidence.is_fresh(view.now, &endpoint.peer.box_id, Self::EVIDENCE_MS)
    };
    let living: Vec<&Endpoint> = old.iter().filter(lives).copied().collect();
    f64::from(slots(target)) >= f64::from(slots(&living)) * Self::SLOTS_MOST
  }

  /// Whether the new version has received so little that it may be given more, should it turn out bad then.
  #[allow(clippy::cast_precision_loss)]
  fn may_be_exposed(&self, view: &FleetView, record: &Record) -> bool {
    let Some(base) = &record.base else {
      return true;
    };
    let answers = |software| {
      let tallies = self.evidence.tallies(view.now, software, None);
      let counts = tallies.iter().flat_map(BTreeMap::values).map(|tally| u64::from(tally.answers));
      counts.sum::<u64>()
    };
    let (exposed, others) = (answers(&record.order.target), answers(base));
    let elapsed_ms = view.now.since_ms(self.ordered_at).max(1);
    let lasting = record.order.duration_ms.max(elapsed_ms) as f64 / elapsed_ms as f64;
    let all = (exposed + others) as f64 * lasting;
    let allowed = all * view.limits.share + view.limits.extra as f64;
    // Beyond the order's time nothing is gained by waiting any more.
    exposed as f64 <= allowed * Self::EXPOSED_PART || elapsed_ms >= record.order.duration_ms
  }

  /// Whether nothing runs at any backend server of another version, and nothing will.
  fn is_old_version_idle(&self, view: &FleetView, record: &Record) -> bool {
    let target = view.live(&record.order.target);
    if !has_room(view, record, &target, Self::SLOTS_FIRST) {
      return false;
    }
    let is_idle = |endpoint: &&Endpoint| {
      let box_id = &endpoint.peer.box_id;
      self.evidence.is_closed(view.now, box_id, Self::EVIDENCE_MS)
        || !self.evidence.is_fresh(view.now, box_id, Self::SILENT_BOX_MS)
          && view.now.since_ms(self.stage_since) >= Self::SILENT_BOX_MS
    };
    // Boxes that left the fleet a moment ago may still finish what they had.
    let is_closed = |box_id: &&BoxId| self.evidence.is_closed(view.now, box_id, Self::EVIDENCE_MS);
    let base = record.base.as_ref();
    let leaving = base.map(|base| self.evidence.fresh_of(view.now, base, Self::EVIDENCE_MS));
    view.others(&record.order.target).iter().all(is_idle)
      && leaving.is_none_or(|boxes| boxes.iter().all(is_closed))
  }

  /// Calls the store for a record: writes it where what stands there is known, and reads that otherwise.
  fn propose(&mut self, record: Record) -> Option<RolloutAction> {
    let key = keys::record(&self.service);
    let value = to_json(&record);
    let (request, call) = match &self.stored {
      Stored::Absent => {
        (StoreRequest::Create { key, lease: None, value }, PendingCall::Write(record))
      }
      Stored::Present(stored, _)
        if stored.as_ref().is_some_and(|one| one.is_newer_than(&record)) =>
      {
        return None;
      }
      Stored::Present(_, revision) => (
        StoreRequest::CompareAndSwap { key, revision: *revision, value },
        PendingCall::Write(record),
      ),
      Stored::Unknown => (StoreRequest::Read { key }, PendingCall::Read),
    };
    self.call = Some(call);
    Some(RolloutAction::Call { request, service: self.service.clone() })
  }

  /// The store answered.
  pub(super) fn store_answered(
    &mut self,
    now: Time,
    unix_ms: u64,
    result: &store::Result<Reply>,
  ) -> Vec<RolloutAction> {
    let Some(call) = self.call.take() else {
      return Vec::new();
    };
    match (call, result) {
      (PendingCall::Write(record), Ok(Reply::Written { revision })) => {
        self.stored = Stored::Present(Some(record.clone()), *revision);
        let age_ms = now.since_ms(self.ordered_at);
        self.adopt(now, age_ms, record)
      }
      (PendingCall::Read, Ok(Reply::Entry { entry: Some(entry), .. })) => {
        self.found(now, unix_ms, read_record(&self.service, entry).ok(), entry.revision)
      }
      (PendingCall::Read, Ok(Reply::Entry { entry: None, .. })) => {
        self.stored = Stored::Absent;
        Vec::new()
      }
      (_, Err(store::Error::Refused(Refusal::Exists | Refusal::RevisionMoved))) => {
        self.stored = Stored::Unknown;
        Vec::new()
      }
      (_, Err(err)) => {
        self.stored = Stored::Unknown;
        self.retry_at = now.after(Self::RETRY_MS);
        let text =
          format!("roll-out of {}: the store does not serve this box: {err}", self.service);
        vec![RolloutAction::Log(text)]
      }
      (_, Ok(_)) => {
        self.stored = Stored::Unknown;
        self.retry_at = now.after(Self::RETRY_MS);
        Vec::new()
      }
    }
  }
}

/// Whether the new version's backend servers that take work have so large a part of the old one's slots.
fn has_room(view: &FleetView, record: &Record, target: &[&Endpoint], part: f64) -> bool {
  let old = record.base.as_ref().map_or_else(Vec::new, |base| view.live(base));
  f64::from(slots(target)) >= f64::from(slots(&old)) * part && !target.is_empty()
}

/// What an entry of the store says of a service's roll-out, or why it says nothing.
pub(super) fn read_record(service: &ServiceName, entry: &Entry) -> Result<Record, String> {
  let record: Record = entry.value.decode()?;
  if record.order.service != *service {
    return Err(format!("it speaks of service {}", record.order.service));
  }
  Ok(record)
}
