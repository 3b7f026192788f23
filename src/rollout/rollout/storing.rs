use super::*;

/// Reads and writes the record in the store.
impl Rollout {
  /// Writes the first record of an order.
  pub(super) fn begin(
    &mut self,
    view: &FleetView,
    in_force: Option<&SoftwareVersion>,
    order: Order,
    revision: Revision,
  ) -> Option<RolloutAction> {
    let base = in_force.cloned().or_else(|| view.most_common_version(Some(&order.target)));
    let age_ms = view.now.since_ms(self.ordered_at);
    let is_in_force = base.as_ref() == Some(&order.target);
    self.propose(Record {
      base,
      decider: view.own_box.clone(),
      order,
      order_revision: revision,
      ordered_unix_ms: view.unix_ms.saturating_sub(age_ms),
      stage: if is_in_force { Stage::Completed } else { Stage::Waiting },
      step: 1,
    })
  }

  /// Writes the record again if the store lost it.
  pub(super) fn restore(&mut self) -> Option<RolloutAction> {
    let held = self.record.clone()?;
    let is_held = |stored: &Option<Record>| {
      stored.as_ref().is_some_and(|stored| *stored == held || stored.is_newer_than(&held))
    };
    if matches!(&self.stored, Stored::Present(stored, _) if is_held(stored)) {
      self.must_check_store = false;
      return None;
    }
    self.propose(held)
  }

  /// Writes a record if the stored revision is known; otherwise reads the stored record first.
  pub(super) fn propose(&mut self, record: Record) -> Option<RolloutAction> {
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

  /// Handles the store's answer to the pending call.
  pub(in crate::rollout) fn store_answered(
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
        self.record_found(now, unix_ms, read_record(&self.service, entry).ok(), entry.revision)
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
          format!("rollout of {}: the store call failed, it is retried: {err}", self.service);
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

/// Decodes a service's rollout record from a store entry, or returns why that fails.
pub(in crate::rollout) fn read_record(
  service: &ServiceName,
  entry: &Entry,
) -> Result<Record, String> {
  let record: Record = entry.value.decode()?;
  if record.order.service != *service {
    return Err(format!("the record belongs to service {}", record.order.service));
  }
  Ok(record)
}
