use super::*;

/// What this box knows of the room of one service, and how the room is split among requests.
#[derive(Clone, Debug)]
pub(super) struct ServiceRoom {
  backends: BackendReports,
  /// By rank, the requests admitted and refused here since the start of the daemon.
  counts: BTreeMap<u32, (u64, u64)>,
  demand: DemandMix,
  level: AdmissionLevel,
  /// The last change of the level that was not taken yet.
  level_change: Option<LevelChange>,
  organisations: OrganisationShares,
}

impl ServiceRoom {
  /// Free slots in percent from which every request enters.
  const FREE_MIN_PERCENT: u32 = 5;
  /// Fewest reports, each weighted from 1 to 0 by age, for a forecast. Fewer backend servers may
  /// all be full while others have room.
  const REPORTS_MIN: f64 = 2.5;

  pub fn new(now: Time) -> Self {
    Self {
      backends: BackendReports::default(),
      counts: BTreeMap::new(),
      demand: DemandMix::default(),
      level: AdmissionLevel::new(now),
      level_change: None,
      organisations: OrganisationShares::default(),
    }
  }

  /// Sets the slots of each data hall.
  pub fn set_hall_slots(&mut self, hall_slots: BTreeMap<DataHall, u64>) {
    self.backends.set_hall_slots(hall_slots);
  }

  /// Records what a backend server told of its room; `None` where its slots are no measure of it.
  pub fn note_report(&mut self, box_id: &BoxId, room: Option<BackendRoom>) {
    let Some(room) = room else {
      return self.backends.remove(box_id);
    };
    let load_percent = room.load_percent;
    if self.backends.replace(box_id, room) {
      self.level.add_report(load_percent);
    }
  }

  /// Whether a backend server last told that all of its slots are taken.
  pub fn is_full(&self, now: Time, box_id: &BoxId) -> bool {
    self.backends.of(now, box_id).is_some_and(BackendRoom::is_full)
  }

  /// Records the end of a request that was tried, and whether it was refused for lack of room.
  /// `rank` is its rank if this decided on it.
  pub fn note_ended(&mut self, rank: Option<u32>, is_refused: bool) {
    self.level.add_ended(is_refused);
    if let Some(priority) = rank.filter(|_| !is_refused) {
      self.demand.add_served(priority);
    }
  }

  /// Returns what a request of rank `priority` may expect; `None` where too little is known.
  #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
  pub fn forecast(&self, now: Time, priority: u32) -> Option<RoomForecast> {
    let reported = self.reported(now)?;
    // The request goes before those of less urgent ranks that wait there.
    let wait_ms = reported.wait_ms * self.demand.share_up_to(priority);
    let free_percent = reported.free_percent.round() as u32;
    let has_room = free_percent >= Self::FREE_MIN_PERCENT;
    Some(RoomForecast { free_percent, wait_ms: if has_room { 0 } else { wait_ms.ceil() as u64 } })
  }

  /// Returns what the backend servers told together; `None` where too few did.
  fn reported(&self, now: Time) -> Option<ReportedRoom> {
    self.backends.together(now).filter(|reported| reported.reports >= Self::REPORTS_MIN)
  }

  /// Decides on a request that arrives. `entitlement_of` returns the share of the service to which
  /// an organisation is entitled.
  pub fn decide(
    &mut self,
    now: Time,
    request: &EntryRequest,
    entitlement_of: impl Fn(&OrganisationName) -> f64,
  ) -> RoomDecision {
    self.close_window(now, &entitlement_of);
    let urgency = &request.urgency;
    if urgency.is_call {
      return RoomDecision::Admit { priority: urgency.priority };
    }
    let forecast = self.forecast(now, urgency.priority);
    let short = forecast.filter(|one| one.free_percent < Self::FREE_MIN_PERCENT);
    if let Some(forecast) = forecast.filter(|one| one.is_full() && urgency.due <= now) {
      // An overdue request may not queue. It competes with no other, and is not counted as demand.
      let kind = DemandMix::kind_of(urgency, false);
      let reason = "it is overdue and the service is full";
      return self.refuse(kind, reason, 0.0, now, request, forecast);
    }
    let work_us = RefusedCaller::work_us_of(request.estimate);
    let needed_ms = request.estimate.map_or(0, |estimate| estimate.usual_us / 1_000)
      + forecast.map_or(0, |forecast| forecast.wait_ms);
    let may_be_in_time = urgency.due.since_ms(now) > needed_ms;
    let kind = DemandMix::kind_of(urgency, may_be_in_time);
    self.demand.add(kind, work_us);
    if let Some(organisation) = request.organisation {
      self.organisations.add(organisation);
    }
    let Some(forecast) = short else {
      return self.admit(kind, urgency.priority);
    };
    let part = self.demand.admitted_part(kind, self.level.share());
    let own_part = request.organisation.map_or(part, |organisation| {
      self.organisations.admitted_part(organisation, part, entitlement_of)
    });
    if self.demand.spend(kind, own_part) {
      let priority = self.demand.priority_at_backends(urgency.priority);
      return self.admit(kind, priority);
    }
    let reason = if own_part < part {
      "its organisation asks for more than its share of a full service"
    } else {
      "the service is full of what goes first"
    };
    self.refuse(kind, reason, own_part, now, request, forecast)
  }

  #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
  fn refuse(
    &mut self,
    kind: RequestKind,
    reason: &'static str,
    admitted_part: f64,
    now: Time,
    request: &EntryRequest,
    forecast: RoomForecast,
  ) -> RoomDecision {
    self.counts.entry(kind.priority).or_default().1 += 1;
    RoomDecision::Refuse(RoomRefusal {
      admitted_percent: (admitted_part * 100.0).round() as u32,
      age_ms: self.reported(now).map_or(0, |reported| reported.age_ms),
      forecast,
      level_percent: self.level.percent(),
      priority: kind.priority,
      reason,
      retry_after_ms: self.retry_after_ms(now, request, kind, forecast),
      service: request.service.clone(),
    })
  }

  /// Admits a request, which has rank `priority` at backend servers.
  fn admit(&mut self, kind: RequestKind, priority: u32) -> RoomDecision {
    self.counts.entry(kind.priority).or_default().0 += 1;
    RoomDecision::Admit { priority }
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

  fn close_window(&mut self, now: Time, entitlement_of: impl Fn(&OrganisationName) -> f64) {
    let Some(change) = self.level.close_window(now) else {
      return;
    };
    if change.before_percent != change.after_percent {
      self.level_change = Some(change);
    }
    self.demand.decay();
    self.organisations.begin_window(entitlement_of);
    self.backends.expire(now);
  }

  /// Returns the last change of the level that was not taken yet.
  pub fn take_level_change(&mut self) -> Option<LevelChange> {
    self.level_change.take()
  }

  /// Returns the admitted share of the demand in percent.
  pub fn level_percent(&self) -> u32 {
    self.level.percent()
  }

  /// Returns what is known for each rank.
  #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
  pub fn rows(&self, now: Time) -> Vec<RoomRow> {
    let mut priorities = self.demand.priorities();
    priorities.extend(self.counts.keys());
    let row = |priority: u32| {
      let forecast = self.forecast(now, priority);
      let is_short = forecast.is_some_and(|one| one.free_percent < Self::FREE_MIN_PERCENT);
      let kind = RequestKind { priority, turn: Turn::FirstTry };
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
