use super::*;

mod deciding;
mod storing;

pub(super) use self::storing::read_record;

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

  fn tick_open(&mut self, view: &FleetView, record: &Record) -> Vec<RolloutAction> {
    let now = view.now;
    if let Some(reason) = self.why_bad(now, record).filter(|_| view.hears_all) {
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
}
