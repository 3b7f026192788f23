use super::*;

/// The content of the stand-in store. Pure: time comes in with each call.
#[derive(Clone, Debug, Default)]
pub struct Keyspace {
  entries: BTreeMap<Key, Stored>,
  /// The last changes, oldest first.
  events: VecDeque<Event>,
  /// The revision of the last change that is no longer kept.
  forgotten: Revision,
  last_lease: LeaseId,
  /// When each lease ends, with its life in milliseconds.
  leases: BTreeMap<LeaseId, (Time, u64)>,
  revision: Revision,
}

#[derive(Clone, Debug)]
struct Stored {
  entry: Entry,
  lease: Option<LeaseId>,
}

impl Keyspace {
  /// Changes kept for watches.
  const EVENTS_MAX: usize = 1_000;

  /// The last revision.
  pub fn revision(&self) -> Revision {
    self.revision
  }

  /// Carries out a call. A watch answers at once; the server waits for it.
  pub fn call(&mut self, now: Time, request: &StoreRequest) -> std::result::Result<Reply, Refusal> {
    self.expire(now);
    match request {
      StoreRequest::CompareAndSwap { key, revision, value } => {
        self.compare_and_swap(key, *revision, value)
      }
      StoreRequest::Create { key, lease, value } => self.create(key, *lease, value),
      StoreRequest::Delete { key } => {
        self.remove(key);
        Ok(Reply::Done)
      }
      StoreRequest::GrantLease { ttl_ms } => {
        self.last_lease = self.last_lease.next();
        self.leases.insert(self.last_lease, (now.after(*ttl_ms), *ttl_ms));
        Ok(Reply::Lease { lease: self.last_lease })
      }
      StoreRequest::List { prefix } | StoreRequest::ListStale { prefix } => Ok(self.list(prefix)),
      StoreRequest::Put { key, lease, value } => {
        self.check_lease(*lease)?;
        self.write(key, *lease, value)
      }
      StoreRequest::Read { key } => Ok(Reply::Entry {
        entry: self.entries.get(key).map(|stored| stored.entry.clone()),
        revision: self.revision,
      }),
      StoreRequest::RenewLease { lease } => self.renew(now, *lease),
      StoreRequest::RevokeLease { lease } => {
        self.end_lease(*lease);
        Ok(Reply::Done)
      }
      StoreRequest::Watch { after, prefix, .. } => self.changes(*after, prefix),
    }
  }

  /// Ends the leases whose time is up. Returns whether any ended.
  pub fn expire(&mut self, now: Time) -> bool {
    let over: Vec<LeaseId> =
      self.leases.iter().filter(|(_, (until, _))| now >= *until).map(|(id, _)| *id).collect();
    for lease in &over {
      self.end_lease(*lease);
    }
    !over.is_empty()
  }

  /// Another writer puts in a value that may be no text.
  pub fn write_foreign(&mut self, key: &Key, value: Value) {
    self.keep(key, None, value);
  }

  /// Forgets all changes: watches from before now are told so.
  pub fn forget_history(&mut self) {
    self.events.clear();
    self.forgotten = self.revision;
  }

  /// Ends all leases before their time.
  pub fn lapse_leases(&mut self) {
    let leases: Vec<LeaseId> = self.leases.keys().copied().collect();
    for lease in leases {
      self.end_lease(lease);
    }
  }

  fn renew(&mut self, now: Time, lease: LeaseId) -> std::result::Result<Reply, Refusal> {
    let (until, ttl_ms) = self.leases.get_mut(&lease).ok_or(Refusal::LeaseEnded)?;
    *until = now.after(*ttl_ms);
    Ok(Reply::Lease { lease })
  }

  fn end_lease(&mut self, lease: LeaseId) {
    self.leases.remove(&lease);
    let bound: Vec<Key> = self
      .entries
      .iter()
      .filter(|(_, stored)| stored.lease == Some(lease))
      .map(|(key, _)| key.clone())
      .collect();
    for key in bound {
      self.remove(&key);
    }
  }

  fn list(&self, prefix: &Key) -> Reply {
    let under = self.entries.iter().filter(|(key, _)| key.is_under(prefix));
    Reply::Entries {
      entries: under.map(|(_, stored)| stored.entry.clone()).collect(),
      revision: self.revision,
    }
  }

  fn changes(&self, after: Revision, prefix: &Key) -> std::result::Result<Reply, Refusal> {
    if after < self.forgotten || after > self.revision {
      return Err(Refusal::Compacted);
    }
    let newer = self.events.iter().filter(|event| event.revision > after);
    let events = newer.filter(|event| event.key.is_under(prefix)).cloned().collect();
    Ok(Reply::Changes { events, revision: self.revision })
  }

  fn create(
    &mut self,
    key: &Key,
    lease: Option<LeaseId>,
    value: &str,
  ) -> std::result::Result<Reply, Refusal> {
    if self.entries.contains_key(key) {
      return Err(Refusal::Exists);
    }
    self.check_lease(lease)?;
    self.write(key, lease, value)
  }

  fn check_lease(&self, lease: Option<LeaseId>) -> std::result::Result<(), Refusal> {
    match lease {
      Some(lease) if !self.leases.contains_key(&lease) => Err(Refusal::LeaseEnded),
      _ => Ok(()),
    }
  }

  fn compare_and_swap(
    &mut self,
    key: &Key,
    revision: Revision,
    value: &str,
  ) -> std::result::Result<Reply, Refusal> {
    let stored = self.entries.get(key).filter(|stored| stored.entry.revision == revision);
    let lease = stored.ok_or(Refusal::RevisionMoved)?.lease;
    self.write(key, lease, value)
  }

  fn write(
    &mut self,
    key: &Key,
    lease: Option<LeaseId>,
    value: &str,
  ) -> std::result::Result<Reply, Refusal> {
    if value.len() > VALUE_BYTES_MAX {
      return Err(Refusal::ValueTooLarge);
    }
    self.keep(key, lease, Value::from(value));
    Ok(Reply::Written { revision: self.revision })
  }

  fn keep(&mut self, key: &Key, lease: Option<LeaseId>, value: Value) {
    self.revision = self.revision.next();
    let entry = Entry { key: key.clone(), revision: self.revision, value };
    self.entries.insert(key.clone(), Stored { entry: entry.clone(), lease });
    self.note(key, Some(entry));
  }

  fn remove(&mut self, key: &Key) {
    if self.entries.remove(key).is_some() {
      self.revision = self.revision.next();
      self.note(key, None);
    }
  }

  fn note(&mut self, key: &Key, entry: Option<Entry>) {
    self.events.push_back(Event { entry, key: key.clone(), revision: self.revision });
    if self.events.len() > Self::EVENTS_MAX {
      self.forgotten = self.events.pop_front().map_or(self.forgotten, |event| event.revision);
    }
  }
}
