use super::{super::fleet_view::slots, *};

/// Decides whether the new version is bad and which stage comes next.
impl Rollout {
  /// Returns why the new version is bad, if there is evidence of that.
  pub(super) fn find_fault(&self, now: Time, record: &Record) -> Option<String> {
    if record.stage.permille() == 0 {
      return None;
    }
    let base = record.base.as_ref()?;
    Self::WINDOWS_MS.into_iter().find_map(|window_ms| {
      // Once all requests go to the new version, the old one has only its earlier answers to compare with.
      let base_window_ms = window_ms.filter(|_| record.stage != Stage::Full);
      let base = self.evidence.tallies(now, base, base_window_ms);
      let target = self.evidence.tallies(now, &record.order.target, window_ms);
      find_regression(&base, &target, base_window_ms.is_some())
    })
  }

  /// Returns the next stage, or what blocks it.
  pub(super) fn next_stage(
    &self,
    view: &FleetView,
    record: &Record,
  ) -> Result<Stage, &'static str> {
    let target = view.live(&record.order.target);
    match &record.stage {
      Stage::Canary(canary) => self.stage_after_canary(view, record, canary, &target),
      Stage::Full if self.is_old_version_idle(view, record) => Ok(Stage::Completed),
      Stage::Full => Err("requests still run at the old version"),
      Stage::Halted { reason } => Ok(Stage::RolledBack { reason: reason.clone() }),
      Stage::Waiting => self.first_canary(view, record, &target),
      Stage::Completed | Stage::RolledBack { .. } => Err("it is over"),
    }
  }

  fn first_canary(
    &self,
    view: &FleetView,
    record: &Record,
    target: &[&Endpoint],
  ) -> Result<Stage, &'static str> {
    if has_slots(view, record, target, Self::SLOTS_FIRST) {
      return Ok(Stage::Canary(CanaryStep::canary(0, target)));
    }
    let is_over = view.now.since_ms(self.ordered_at) >= record.order.duration_ms;
    if is_over && target.is_empty() {
      let reason = "no backend server of that version took work in time".into();
      return Ok(Stage::RolledBack { reason });
    }
    Err("too few backend servers of the new version take work")
  }

  fn stage_after_canary(
    &self,
    view: &FleetView,
    record: &Record,
    canary: &Canary,
    target: &[&Endpoint],
  ) -> Result<Stage, &'static str> {
    // The first step needs few of the new backend servers, the later ones enough for most requests.
    let needs_most_slots = canary.step_index > 0;
    if !self.has_step_elapsed(view.now, record, canary) {
      return Err("this share has not lasted its time");
    }
    if !self.has_recent_evidence(view.now, target) {
      return Err("too few boxes of the new version tell of its answers");
    }
    if needs_most_slots && !self.has_most_slots(view, record, target) {
      return Err("the new version has too few slots for most requests");
    }
    // After the steps that reveal a bad version, waiting would only expose it to more requests.
    if canary.step_index + 1 == CanaryStep::FIRST_LARGE
      && !self.is_exposure_acceptable(view, record)
    {
      return Err("the new version has received as much as a bad one may");
    }
    if canary.step_index + 1 >= CanaryStep::ALL.len() {
      return Ok(Stage::Full);
    }
    // A few boxes show how the version behaves under load, so boxes with failures of their own come last.
    let mut by_failures = target.to_vec();
    by_failures.sort_by_key(|endpoint| self.evidence.failures(&endpoint.peer.box_id));
    Ok(Stage::Canary(CanaryStep::canary(canary.step_index + 1, &by_failures)))
  }

  fn has_step_elapsed(&self, now: Time, record: &Record, canary: &Canary) -> bool {
    #[allow(clippy::cast_precision_loss)]
    let until_ms =
      record.order.duration_ms as f64 * CanaryStep::ALL[canary.step_index].end_fraction;
    #[allow(clippy::cast_precision_loss)]
    let elapsed_ms = now.since_ms(self.ordered_at) as f64;
    elapsed_ms >= until_ms && now.since_ms(self.stage_since) >= Self::STEP_MIN_MS
  }

  /// Whether three quarters of the new version's boxes sent evidence lately. Without it a fault would go unnoticed.
  fn has_recent_evidence(&self, now: Time, target: &[&Endpoint]) -> bool {
    let is_fresh = |endpoint: &&&Endpoint| {
      self.evidence.is_fresh(now, &endpoint.peer.box_id, Self::EVIDENCE_MAX_AGE_MS)
    };
    let fresh = target.iter().filter(is_fresh).count();
    !target.is_empty() && fresh * 4 >= target.len() * 3
  }

  /// Whether the new version can take most requests. Crashed boxes of the old version stay in the directory for a
  /// while, so only boxes that still send evidence count as old capacity.
  fn has_most_slots(&self, view: &FleetView, record: &Record, target: &[&Endpoint]) -> bool {
    let old = record.base.as_ref().map_or_else(Vec::new, |base| view.live(base));
    let lives = |endpoint: &&&Endpoint| {
      self.evidence.is_fresh(view.now, &endpoint.peer.box_id, Self::EVIDENCE_MAX_AGE_MS)
    };
    let living: Vec<&Endpoint> = old.iter().filter(lives).copied().collect();
    f64::from(slots(target)) >= f64::from(slots(&living)) * Self::SLOTS_MOST
  }

  /// Whether the new version has received so few requests that its share may grow within the exposure limits, even
  /// if it turns out bad afterwards.
  #[allow(clippy::cast_precision_loss)]
  fn is_exposure_acceptable(&self, view: &FleetView, record: &Record) -> bool {
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
    // Once the order's time has passed, waiting longer gains nothing.
    exposed as f64 <= allowed * Self::EXPOSURE_MAX_FRACTION
      || elapsed_ms >= record.order.duration_ms
  }

  /// Whether no backend server of another version runs requests or will run any.
  fn is_old_version_idle(&self, view: &FleetView, record: &Record) -> bool {
    let target = view.live(&record.order.target);
    if !has_slots(view, record, &target, Self::SLOTS_FIRST) {
      return false;
    }
    let is_idle = |endpoint: &&Endpoint| {
      let box_id = &endpoint.peer.box_id;
      self.evidence.is_closed(view.now, box_id, Self::EVIDENCE_MAX_AGE_MS)
        || !self.evidence.is_fresh(view.now, box_id, Self::SILENT_BOX_MS)
          && view.now.since_ms(self.stage_since) >= Self::SILENT_BOX_MS
    };
    // Boxes that have just left the fleet may still be finishing requests.
    let is_closed =
      |box_id: &&BoxId| self.evidence.is_closed(view.now, box_id, Self::EVIDENCE_MAX_AGE_MS);
    let base = record.base.as_ref();
    let leaving =
      base.map(|base| self.evidence.fresh_of(view.now, base, Self::EVIDENCE_MAX_AGE_MS));
    view.others(&record.order.target).iter().all(is_idle)
      && leaving.is_none_or(|boxes| boxes.iter().all(is_closed))
  }
}

/// Whether the new version's live backend servers have at least `part` of the old version's slots.
fn has_slots(view: &FleetView, record: &Record, target: &[&Endpoint], part: f64) -> bool {
  let old = record.base.as_ref().map_or_else(Vec::new, |base| view.live(base));
  f64::from(slots(target)) >= f64::from(slots(&old)) * part && !target.is_empty()
}
