use super::*;

/// What this box knows of the room of one service, and how the room is split among requests.
#[derive(Clone, Debug)]
pub(super) struct ServiceRoom {
  /// The backend servers that told of their room, at most [`Self::BACKENDS_MAX`].
  backends: BTreeMap<BoxId, BackendRoom>,
  /// By rank, the requests admitted and refused here since the start of the daemon.
  counts: BTreeMap<u32, (u64, u64)>,
  demand: DemandMix,
  level: AdmissionLevel,
  organisations: OrganisationShares,
}

impl ServiceRoom {
  /// Backend servers whose reports are kept.
  const BACKENDS_MAX: usize = 1_024;
  /// Free slots in percent from which every request enters.
  const FREE_MIN_PERCENT: u32 = 5;
  /// Fewest reports, each weighted from 1 to 0 by age, for a forecast. Fewer backend servers may
  /// all be full while others have room.
  const REPORTS_MIN: f64 = 2.5;
  /// Microseconds of work assumed of a request of which nothing is known.
  const WORK_UNKNOWN_US: u64 = 100_000;

  pub fn new(now: Time) -> Self {
    Self {
      backends: BTreeMap::new(),
      counts: BTreeMap::new(),
      demand: DemandMix::default(),
      level: AdmissionLevel::new(now),
      organisations: OrganisationShares::default(),
    }
  }

  /// Records what a backend server told of its room.
  pub fn note_report(&mut self, box_id: &BoxId, room: BackendRoom) {
    if self.backends.len() >= Self::BACKENDS_MAX && !self.backends.contains_key(box_id) {
      return;
    }
    self.level.add_report(room.load_percent);
    self.backends.insert(box_id.clone(), room);
  }

  /// Records the end of a request that was tried, and whether it was refused for lack of room.
  pub fn note_ended(&mut self, is_refused: bool) {
    self.level.add_ended(is_refused);
  }

  /// Returns what a request of rank `priority` may expect; `None` where too little is known.
  #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
  pub fn forecast(&self, now: Time, priority: u32) -> Option<RoomForecast> {
    let (mut reports, mut all, mut free, mut wait_ms) = (0.0, 0.0, 0.0, 0.0);
    for backend in self.backends.values() {
      let freshness = backend.freshness(now);
      let weight = backend.speed_slots * freshness;
      reports += freshness;
      all += weight;
      free += weight * backend.free_share();
      wait_ms += weight * backend.wait_ms();
    }
    if reports < Self::REPORTS_MIN {
      return None;
    }
    // The request goes before those of less urgent ranks that wait there.
    let wait_ms = wait_ms / all * self.demand.share_up_to(priority);
    let free_percent = (free * 100.0 / all).round() as u32;
    let has_room = free_percent >= Self::FREE_MIN_PERCENT;
    Some(RoomForecast { free_percent, wait_ms: if has_room { 0 } else { wait_ms.ceil() as u64 } })
  }

  /// Decides on a request that arrives. `entitlement_of` returns the share of the service to which
  /// an organisation is entitled.
  pub fn decide(
    &mut self,
    now: Time,
    request: &EntryRequest,
    entitlement_of: impl Fn(&OrganisationName) -> f64,
  ) -> EntryDecision {
    self.close_window(now);
    let urgency = &request.urgency;
    if urgency.is_call {
      return EntryDecision::Admit;
    }
    let forecast = self.forecast(now, urgency.priority);
    let short = forecast.filter(|one| one.free_percent < Self::FREE_MIN_PERCENT);
    if let Some(forecast) = forecast.filter(|one| one.is_full() && urgency.due <= now) {
      // An overdue request may not queue. It competes with no other, and is not counted as demand.
      let kind = DemandMix::kind_of(urgency, false);
      return self.refuse(kind, "it is overdue and the service is full", now, request, forecast);
    }
    let work_us = request.estimate.map_or(Self::WORK_UNKNOWN_US, |estimate| estimate.usual_us);
    let needed_ms = request.estimate.map_or(0, |estimate| estimate.usual_us / 1_000)
      + forecast.map_or(0, |forecast| forecast.wait_ms);
    let may_be_in_time = urgency.due.since_ms(now) > needed_ms;
    let kind = DemandMix::kind_of(urgency, may_be_in_time);
    self.demand.add(kind, work_us);
    if let Some(organisation) = request.organisation {
      self.organisations.add(organisation);
    }
    let Some(forecast) = short else {
      return self.admit(kind);
    };
    let part = self.demand.admitted_part(kind, self.level.share());
    let own_part = request.organisation.map_or(part, |organisation| {
      self.organisations.admitted_part(organisation, part, entitlement_of)
    });
    if self.demand.spend(kind, own_part) {
      return self.admit(kind);
    }
    let reason = if own_part < part {
      "its organisation asks for more than its share of a full service"
    } else {
      "the service is full of what goes first"
    };
    self.refuse(kind, reason, now, request, forecast)
  }

  fn refuse(
    &mut self,
    kind: RequestKind,
    reason: &'static str,
    now: Time,
    request: &EntryRequest,
    forecast: RoomForecast,
  ) -> EntryDecision {
    self.counts.entry(kind.priority).or_default().1 += 1;
    EntryDecision::Refuse {
      reason,
      retry_after_ms: self.retry_after_ms(now, request, kind, forecast),
    }
  }

  fn admit(&mut self, kind: RequestKind) -> EntryDecision {
    self.counts.entry(kind.priority).or_default().0 += 1;
    EntryDecision::Admit
  }

  /// Returns the milliseconds after which a refused caller should return.
  fn retry_after_ms(
    &self,
    now: Time,
    request: &EntryRequest,
    kind: RequestKind,
    forecast: RoomForecast,
  ) -> u64 {
    let left_ms = request.deadline.since_ms(now);
    let time = ReturnTime { kind: RefusalKind::Entry, left_ms, wait_ms: Some(forecast.wait_ms) };
    // The credit differs from refusal to refusal, so callers that are refused together are spread.
    time.retry_after_ms(1.0 - self.demand.credit(kind))
  }

  fn close_window(&mut self, now: Time) {
    if !self.level.close_window(now) {
      return;
    }
    self.demand.decay();
    self.organisations.decay();
    self.backends.retain(|_, room| now.since_ms(room.told_at) < BackendRoom::AGE_MAX_MS);
  }

  /// Returns the admitted share of the demand in percent.
  #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
  pub fn level_percent(&self) -> u32 {
    (self.level.share() * 100.0).round() as u32
  }

  /// Returns what is known for each rank.
  #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
  pub fn rows(&self, now: Time) -> Vec<RoomRow> {
    let mut priorities = self.demand.priorities();
    priorities.extend(self.counts.keys());
    let row = |priority: u32| {
      let forecast = self.forecast(now, priority);
      let is_short = forecast.is_some_and(|one| one.free_percent < Self::FREE_MIN_PERCENT);
      let kind = RequestKind { priority, is_fresh: true };
      let part = if is_short { self.demand.admitted_part(kind, self.level.share()) } else { 1.0 };
      let (admitted, refused) = self.counts.get(&priority).copied().unwrap_or_default();
      let admitted_percent = (part * 100.0).round() as u32;
      RoomRow { admitted, admitted_percent, forecast, priority, refused }
    };
    priorities.into_iter().map(row).collect()
  }

  /// Returns the organisations that asked for most, with their part of the requests in percent.
  pub fn largest_organisations(&self, count: usize) -> Vec<(OrganisationName, u32)> {
    self.organisations.largest(count)
  }
}
