use super::*;

/// The content of the fake store. It does no I/O and gets the current time with each call.
#[derive(Clone, Debug, Default)]
pub struct Keyspace {
  entries: BTreeMap<Key, Stored>,
  /// The latest changes, oldest first.
  events: VecDeque<Event>,
  /// The revision of the last change that was removed from `events`.
  compacted: Revision,
  last_lease: LeaseId,
  /// The expiry of each lease, and its time to live in milliseconds.
  leases: BTreeMap<LeaseId, (Time, u64)>,
  revision: Revision,
}

#[derive(Clone, Debug)]
struct Stored {
  entry: Entry,
  lease: Option<LeaseId>,
}

impl Keyspace {
  /// The maximum number of changes kept for watches.
  const EVENTS_MAX: usize = 1_000;

  /// Returns the latest revision.
  pub fn revision(&self) -> Revision {
    self.revision
  }

  /// Executes a call. A watch returns at once with the changes so far; the server waits for more.
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

  /// Ends the expired leases. Returns whether there were any.
  pub fn expire(&mut self, now: Time) -> bool {
    let expired: Vec<LeaseId> =
      self.leases.iter().filter(|(_, (until, _))| now >= *until).map(|(id, _)| *id).collect();
    for lease in &expired {
      self.end_lease(*lease);
    }
    !expired.is_empty()
  }

  /// Writes a value for another writer, possibly an unreadable one.
  pub fn write_value(&mut self, key: &Key, value: Value) {
    self.store(key, None, value);
  }

  /// Removes all changes from the history, so that watches from earlier revisions are refused.
  pub fn compact(&mut self) {
    self.events.clear();
    self.compacted = self.revision;
  }

  /// Ends all leases before they expire.
  pub fn expire_all_leases(&mut self) {
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
    if after < self.compacted || after > self.revision {
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
    self.store(key, lease, Value::from(value));
    Ok(Reply::Written { revision: self.revision })
  }

  fn store(&mut self, key: &Key, lease: Option<LeaseId>, value: Value) {
    self.revision = self.revision.next();
    let entry = Entry { key: key.clone(), revision: self.revision, value };
    self.entries.insert(key.clone(), Stored { entry: entry.clone(), lease });
    self.record_event(key, Some(entry));
  }

  fn remove(&mut self, key: &Key) {
    if self.entries.remove(key).is_some() {
      self.revision = self.revision.next();
      self.record_event(key, None);
    }
  }

  fn record_event(&mut self, key: &Key, entry: Option<Entry>) {
    self.events.push_back(Event { entry, key: key.clone(), revision: self.revision });
    if self.events.len() > Self::EVENTS_MAX {
      self.compacted = self.events.pop_front().map_or(self.compacted, |event| event.revision);
    }
  }
}
