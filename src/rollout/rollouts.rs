use super::*;

use super::rollout::read_record;

/// The rollouts of all services as known to this box, and the version in force of each service.
#[derive(Clone, Debug, Default)]
pub struct Rollouts {
  by_service: BTreeMap<ServiceName, Rollout>,
  /// The order revision of the last finished rollout applied to the versions in force.
  ended: BTreeMap<ServiceName, Revision>,
  /// The version assumed to be in force where no rollout determines it.
  versions_in_force: BTreeMap<ServiceName, SoftwareVersion>,
}

impl Rollouts {
  /// Handles an operator's order read from the store.
  pub fn order_found(&mut self, now: Time, order: &Order, revision: Revision) {
    self.of(now, &order.service).order_found(now, order, revision);
  }

  /// Handles the removal of an operator's order from the store.
  pub fn order_withdrawn(&mut self, now: Time, service: &ServiceName) -> Vec<RolloutAction> {
    self.by_service.get_mut(service).map_or_else(Vec::new, |rollout| rollout.order_withdrawn(now))
  }

  /// Handles a store entry that may hold a rollout record.
  pub fn record_found(
    &mut self,
    now: Time,
    unix_ms: u64,
    service: &ServiceName,
    entry: &Entry,
  ) -> Vec<RolloutAction> {
    let read = read_record(service, entry);
    let reason = read.as_ref().err().map(|reason| {
      let revision = entry.revision;
      RolloutAction::Log(format!(
        "cannot read the rollout record of {service} at revision {revision}: {reason}"
      ))
    });
    let rollout = self.of(now, service);
    let actions = rollout.record_found(now, unix_ms, read.ok(), entry.revision);
    self.note_end(service);
    reason.into_iter().chain(actions).collect()
  }

  /// Handles a status update from another box. Returns whether it is new and must be forwarded.
  pub fn update_received(
    &mut self,
    now: Time,
    update: &RolloutUpdate,
  ) -> (bool, Vec<RolloutAction>) {
    let service = &update.record.order.service;
    let result = self.of(now, service).update_received(now, update);
    self.note_end(service);
    result
  }

  /// Handles the answer counts of a backend server, sent by its daemon. Returns whether they are new.
  pub fn evidence_received(&mut self, now: Time, evidence: &Evidence) -> bool {
    let rollout = self.by_service.get_mut(&evidence.service);
    rollout.is_some_and(|rollout| rollout.evidence_received(now, evidence))
  }

  /// Handles the restoration of the store from a copy.
  pub fn store_restored(&mut self) {
    self.by_service.values_mut().for_each(Rollout::store_restored);
  }

  /// Handles the store's answer to a call for a service's rollout.
  pub fn store_answered(
    &mut self,
    now: Time,
    unix_ms: u64,
    service: &ServiceName,
    result: &store::Result<Reply>,
  ) -> Vec<RolloutAction> {
    let actions = self.of(now, service).store_answered(now, unix_ms, result);
    self.note_end(service);
    actions
  }

  /// Returns the services whose rollouts need work.
  pub fn active_services(&self) -> Vec<ServiceName> {
    let active = self.by_service.iter().filter(|(_, rollout)| rollout.is_active());
    active.map(|(service, _)| service.clone()).collect()
  }

  /// Advances the rollout of one service to the time of `view`.
  pub fn tick(&mut self, service: &ServiceName, view: &FleetView) -> Vec<RolloutAction> {
    let base = self.versions_in_force.get(service);
    self.by_service.get_mut(service).map_or_else(Vec::new, |rollout| rollout.tick(view, base))
  }

  /// Updates the version in force after a rollout has ended.
  fn note_end(&mut self, service: &ServiceName) {
    let Some(record) = self.by_service.get(service).and_then(Rollout::record) else {
      return;
    };
    let is_known = self.ended.get(service) == Some(&record.order_revision);
    if is_known || !record.stage.is_final() {
      return;
    }
    let in_force = match record.stage {
      Stage::Completed => Some(record.order.target.clone()),
      _ => record.base.clone(),
    };
    if let Some(in_force) = in_force {
      self.versions_in_force.insert(service.clone(), in_force);
    }
    self.ended.insert(service.clone(), record.order_revision);
  }

  /// Whether a rollout of the service is in progress.
  pub fn is_open(&self, service: &ServiceName) -> bool {
    self.by_service.get(service).is_some_and(|rollout| rollout.open_record().is_some())
  }

  /// Returns the rollout of a service.
  pub fn get(&self, service: &ServiceName) -> Option<&Rollout> {
    self.by_service.get(service)
  }

  /// Returns the updates to send to a new neighbour.
  pub fn updates(&self, now: Time) -> Vec<RolloutUpdate> {
    self.by_service.values().filter_map(|rollout| rollout.update(now)).collect()
  }

  /// Handles a change of the boxes of a service. Where no rollout determines the version in force, the version seen
  /// first stays in force until no box runs it. Returns the version that is in force from now on, if it changed.
  pub fn note_endpoints(
    &mut self,
    service: &ServiceName,
    view: &FleetView,
  ) -> Option<SoftwareVersion> {
    let record = self.by_service.get(service).and_then(Rollout::record);
    let undone = record.filter(|record| record.stage.is_undone()).map(|one| &one.order.target);
    let is_known =
      self.versions_in_force.get(service).is_some_and(|base| !view.of_version(base).is_empty());
    if is_known {
      return None;
    }
    let usual = view.most_common_version(undone)?;
    let before = self.versions_in_force.insert(service.clone(), usual.clone());
    (before.as_ref() != Some(&usual)).then_some(usual)
  }

  /// Returns the traffic rules of all known services.
  pub fn traffic(&self) -> BTreeMap<ServiceName, Traffic> {
    let seen = self
      .versions_in_force
      .iter()
      .map(|(service, base)| (service.clone(), Traffic::in_force(base.clone())));
    let mut traffic: BTreeMap<ServiceName, Traffic> = seen.collect();
    for (service, rollout) in &self.by_service {
      if let Some(record) = rollout.record() {
        let mut rule = Traffic::of(record);
        // Backend servers may have been replaced since, without a rollout: their version is in force.
        if record.stage.is_final() {
          rule.base = self.versions_in_force.get(service).cloned().or(rule.base);
        }
        traffic.insert(service.clone(), rule);
      }
    }
    traffic
  }

  fn of(&mut self, now: Time, service: &ServiceName) -> &mut Rollout {
    if !self.by_service.contains_key(service) {
      self.by_service.insert(service.clone(), Rollout::new(now, service.clone()));
    }
    self.by_service.get_mut(service).expect("just inserted")
  }
}
