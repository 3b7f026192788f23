use super::*;

use super::rollout::read_record;

/// The roll-outs of all services, as one box knows them, and which version of each is in force.
#[derive(Clone, Debug, Default)]
pub struct Rollouts {
  /// The version that this box takes for the one in force where no roll-out tells.
  bases: BTreeMap<ServiceName, SoftwareVersion>,
  by_service: BTreeMap<ServiceName, Rollout>,
  /// Roll-outs whose end has told which version is in force, by the revisions of their orders.
  ended: BTreeMap<ServiceName, Revision>,
}

impl Rollouts {
  /// An operator's order was found in the store.
  pub fn ordered(&mut self, now: Time, order: &Order, revision: Revision) {
    self.of(now, &order.service).ordered(now, order, revision);
  }

  /// An operator's order was taken out of the store.
  pub fn withdrawn(&mut self, now: Time, service: &ServiceName) -> Vec<RolloutAction> {
    self.by_service.get_mut(service).map_or_else(Vec::new, |rollout| rollout.withdrawn(now))
  }

  /// An entry of the store that may be a record was read.
  pub fn found(
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
        "the record of {service}'s roll-out cannot be read, of revision {revision}: {reason}"
      ))
    });
    let rollout = self.of(now, service);
    let found = rollout.found(now, unix_ms, read.ok(), entry.revision);
    self.note_end(service);
    reason.into_iter().chain(found).collect()
  }

  /// Another box told where a roll-out stands. Returns whether that was new here, so that others are told.
  pub fn heard(&mut self, now: Time, word: &Word) -> (bool, Vec<RolloutAction>) {
    let service = &word.record.order.service;
    let heard = self.of(now, service).heard(now, word);
    self.note_end(service);
    heard
  }

  /// The daemon beside a backend server told of its answers. Returns whether that was new here.
  pub fn observed(&mut self, now: Time, evidence: &Evidence) -> bool {
    let rollout = self.by_service.get_mut(&evidence.service);
    rollout.is_some_and(|rollout| rollout.observed(now, evidence))
  }

  /// The store came back from a copy.
  pub fn store_went_back(&mut self) {
    self.by_service.values_mut().for_each(Rollout::store_went_back);
  }

  /// The store answered a call for a service's roll-out.
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

  /// Services for whose roll-outs something has to be done.
  pub fn services_at_work(&self) -> Vec<ServiceName> {
    let at_work = self.by_service.iter().filter(|(_, rollout)| rollout.is_at_work());
    at_work.map(|(service, _)| service.clone()).collect()
  }

  /// Lets time pass for one service.
  pub fn tick(&mut self, service: &ServiceName, view: &FleetView) -> Vec<RolloutAction> {
    let base = self.bases.get(service);
    self.by_service.get_mut(service).map_or_else(Vec::new, |rollout| rollout.tick(view, base))
  }

  /// A roll-out that ended tells which version is in force from then on.
  fn note_end(&mut self, service: &ServiceName) {
    let Some(record) = self.by_service.get(service).and_then(Rollout::record) else {
      return;
    };
    let is_known = self.ended.get(service) == Some(&record.ordered_at);
    if is_known || !record.stage.is_final() {
      return;
    }
    let in_force = match record.stage {
      Stage::Completed => Some(record.order.target.clone()),
      _ => record.base.clone(),
    };
    if let Some(in_force) = in_force {
      self.bases.insert(service.clone(), in_force);
    }
    self.ended.insert(service.clone(), record.ordered_at);
  }

  /// Whether a roll-out of a service goes on.
  pub fn is_open(&self, service: &ServiceName) -> bool {
    self.by_service.get(service).is_some_and(|rollout| rollout.open_record().is_some())
  }

  /// The roll-out of a service.
  pub fn get(&self, service: &ServiceName) -> Option<&Rollout> {
    self.by_service.get(service)
  }

  /// What a new neighbour is told.
  pub fn words(&self, now: Time) -> Vec<Word> {
    self.by_service.values().filter_map(|rollout| rollout.word(now)).collect()
  }

  /// The boxes of a service changed. Where no roll-out tells which version is in force, it stays the one that was
  /// seen first, until nobody runs that any more.
  pub fn note_endpoints(&mut self, service: &ServiceName, view: &FleetView) {
    let record = self.by_service.get(service).and_then(Rollout::record);
    let undone = record.filter(|record| record.stage.is_undone()).map(|one| &one.order.target);
    let is_known = self.bases.get(service).is_some_and(|base| !view.of_version(base).is_empty());
    if is_known {
      return;
    }
    if let Some(usual) = view.usual_version(undone) {
      self.bases.insert(service.clone(), usual);
    }
  }

  /// What goes where, for all services of which something is known.
  pub fn traffic(&self) -> BTreeMap<ServiceName, Traffic> {
    let seen =
      self.bases.iter().map(|(service, base)| (service.clone(), Traffic::in_force(base.clone())));
    let mut traffic: BTreeMap<ServiceName, Traffic> = seen.collect();
    for (service, rollout) in &self.by_service {
      if let Some(record) = rollout.record() {
        let mut told = Traffic::of(record);
        // Where backend servers were replaced since, by whatever version, that one is in force.
        if record.stage.is_final() {
          told.base = self.bases.get(service).cloned().or(told.base);
        }
        traffic.insert(service.clone(), told);
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
