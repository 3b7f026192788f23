use super::*;

/// Follows the store: maintains the own entry and watches the configuration.
impl Follower {
  /// Interval between two renewals of a watcher's lease, in milliseconds. A renewal is the cheapest
  /// call, and shows the watcher and its subscribers that the store can be reached. Changes arrive
  /// through the ring of watchers meanwhile, so one second is short enough. At half that interval,
  /// nine boxes at rest made 71 calls in 30 s; now they make at most 63 (asserted by a test).
  const WATCHER_RENEW_MS: u64 = 1_000;
  /// Time, in milliseconds, for which a daemon in a formed fleet looks for neighbours before it
  /// watches the store without being a watcher.
  pub(super) const SETTLING_MS: u64 = 2_000;
  /// Delay, in milliseconds, before the entry of a box that accepts no work yet is written. By then
  /// its backend server has been found, which saves a call per box, or will take long to come up.
  /// If the first configuration comes late, three reports must suffice, which takes five seconds;
  /// neighbours consider a box alive for longer than that.
  const ENTRY_DELAY_MS: u64 = 8_000;
  /// Delay, in milliseconds, before a store without a configuration is read again. A stale read
  /// costs a tenth of a watch, and each box of a fleet that starts as a whole would need one.
  const EMPTY_STORE_RETRY_MS: u64 = 500;
  /// Maximum time, in milliseconds, for which a fleet counts as forming. No box watches the store
  /// meanwhile, so with the time to link to others it must end before a box that has started is
  /// expected to have changes in force in time, which is after three seconds.
  pub(super) const FORMING_MS: u64 = 2_500;
  /// Time, in milliseconds, for which an answer of the store shows that it is reachable, so that a
  /// more expensive call is worthwhile.
  const CONTACT_MS: u64 = 300;
  /// Interval between two log lines about a configuration that stays refused, in milliseconds:
  /// short enough to appear in the last lines of a busy fleet's log, and rare compared with the
  /// lines of requests.
  const REFUSED_LOG_MS: u64 = 5_000;
  /// Maximum back-off of the watch after failures, in milliseconds; see [`Registration`].
  pub(super) const WATCH_RETRY_MAX_MS: u64 = 1_000;
  /// Wait, in milliseconds, of a temporary watch, which neighbours will soon replace. The store
  /// answers a watch even if its answer is no longer needed, and a whole configuration then
  /// blocks a narrow link for a second, ahead of a neighbour's small update.
  const TEMPORARY_WATCH_MS: u64 = 1_500;
  /// Duration of failing calls, in milliseconds, after which a pending watch is no longer trusted.
  const WATCH_DISTRUST_MS: u64 = 1_000;

  pub(super) fn tick_registration(&mut self) {
    let call = self.last_call + 1;
    let ttl_ms = self.identity.timing.lease_ttl_ms;
    let is_watching = !matches!(self.watch, WatchPhase::Idle { .. });
    let renew_ms = if is_watching { Self::WATCHER_RENEW_MS } else { ttl_ms * 2 / 5 };
    let (now, first_ms) = (self.now.time, Self::ENTRY_DELAY_MS);
    let due = self.registration.tick(now, call, ttl_ms, renew_ms, first_ms, &self.own);
    if let Some(request) = due {
      self.call_store(request);
    }
  }

  /// Whether this daemon must watch the store itself rather than rely on its neighbours.
  pub(super) fn must_watch(&self) -> bool {
    (self.is_watcher() && !self.is_forming()) || !(self.is_settling() || self.has_fresh_neighbour())
  }

  /// Whether the store answered recently. If not, a renewal, the cheapest call, probes it; in an
  /// outage each box would otherwise pay for a watch a second.
  fn is_in_contact(&mut self) -> bool {
    if self.failing_since.is_some() {
      return false;
    }
    let is_recent =
      self.contact_at.is_some_and(|at| self.now.time.since_ms(at) <= Self::CONTACT_MS);
    if !is_recent {
      self.registration.renew_at_once();
    }
    is_recent
  }

  pub(super) fn tick_watch(&mut self) {
    let must_watch = self.must_watch();
    let is_waiting = match self.watch {
      WatchPhase::Backoff { until, .. } => self.contact_at.is_some() && self.now.time >= until,
      WatchPhase::Idle { .. } => must_watch,
      _ => false,
    };
    if is_waiting && !self.is_in_contact() {
      return;
    }
    match self.watch {
      WatchPhase::Idle { after: Some(after) } if must_watch => self.wait_for_changes(after),
      WatchPhase::Idle { after: None } if must_watch => self.read_configuration(true),
      WatchPhase::Backoff { after, until } if self.now.time >= until => match after {
        Some(after) => self.wait_for_changes(self.revision_held(after)),
        None => self.read_configuration(true),
      },
      WatchPhase::Batching { after, until } if self.now.time >= until => {
        if must_watch {
          self.wait_for_changes(after);
        } else {
          self.watch = WatchPhase::Idle { after: Some(after) };
        }
      }
      WatchPhase::Watching { after, .. } if !must_watch => {
        self.watch = WatchPhase::Idle { after: Some(after) };
      }
      _ => {}
    }
    self.tick_watch_lag();
  }

  /// Records that the held configuration includes all changes up to a revision. An idle watch
  /// resumes from there.
  pub(super) fn advance_to(&mut self, revision: Option<Revision>) {
    self.neighbours_revision = revision.max(self.neighbours_revision);
    if let WatchPhase::Idle { after } = &mut self.watch {
      *after = revision.max(*after);
    }
  }

  /// The revision from which a watch would resume, if one is known.
  pub(super) fn watch_revision(&self) -> Option<Revision> {
    match self.watch {
      WatchPhase::Batching { after, .. } | WatchPhase::Watching { after, .. } => Some(after),
      WatchPhase::Idle { after } => after,
      WatchPhase::Backoff { .. } | WatchPhase::Listing { .. } => None,
    }
  }

  /// Reads the configuration. A stale answer is sufficient if a watch follows, which brings newer
  /// changes.
  pub(super) fn read_configuration(&mut self, may_be_stale: bool) {
    let prefix = self.source.prefix();
    let request =
      if may_be_stale { StoreRequest::ListStale { prefix } } else { StoreRequest::List { prefix } };
    let call = self.call_store(request);
    self.watch = WatchPhase::Listing { call, may_be_stale };
  }

  /// Applies the result of a read of the configuration and resumes the watch after it.
  ///
  /// A stale answer may name the store's current revision although it lacks a recent change. A
  /// watch resumed from that revision would miss the change until the next one, as happened on a
  /// fleet of 13 boxes that restarted right after a change. The watch therefore resumes from the
  /// newest revision among the entries shown. If the store has compacted the history since then, it
  /// says so, and the newest configuration is read.
  fn configuration_read(&mut self, entries: &[Entry], revision: Revision, may_be_stale: bool) {
    for entry in entries {
      self.note_entry(entry);
    }
    let shown = entries.iter().map(|entry| entry.revision).max().unwrap_or_default();
    let after = if may_be_stale { shown } else { revision };
    self.note_evacuations_over(entries, after);
    let kind = if may_be_stale { "a stale" } else { "the newest" };
    self.log(format!(
      "{kind} configuration was read: changed at revision {shown}, read at {revision}, \
       watched from {after}"
    ));
    if entries.is_empty() && self.is_settling() {
      let until = self.now.time.after(Self::EMPTY_STORE_RETRY_MS);
      self.watch = WatchPhase::Backoff { after: None, until };
    } else if self.must_watch() {
      self.wait_for_changes(after);
    } else {
      self.watch = WatchPhase::Idle { after: Some(after) };
    }
  }

  pub(super) fn store_answered(&mut self, call: u64, result: &store::Result<Reply>) {
    self.note_contact(call, result);
    if self.rollout_answered(call, result) {
      return;
    }
    let now = self.now.time;
    match self.registration.answered(now, call, result, &mut self.rng) {
      Some(RegistrationResult::LeaseExpired) => {
        self.log("the lease of this box's entry expired: registering again");
        self.announce();
        return;
      }
      Some(_) => {
        // A watch may have waited for a sign that the store answers.
        self.tick_watch();
        return self.tick_registration();
      }
      None => {}
    }
    if self.directory_call == Some(call) {
      return self.directory_answered(result);
    }
    match self.watch {
      WatchPhase::Listing { call: own, .. } | WatchPhase::Watching { call: own, .. }
        if own == call =>
      {
        self.watch_lagging_since = None;
      }
      _ => return,
    }
    if result.is_ok() {
      self.watch_failures = 0;
    }
    match result {
      Ok(Reply::Entries { entries, revision }) => {
        let may_be_stale = matches!(self.watch, WatchPhase::Listing { may_be_stale: true, .. });
        self.configuration_read(entries, *revision, may_be_stale);
      }
      Ok(Reply::Changes { events, revision }) => {
        for event in events {
          match &event.entry {
            Some(entry) => self.note_entry(entry),
            None => self.note_withdrawal(&event.key, event.revision),
          }
        }
        self.batch_changes(*revision);
      }
      _ => self.back_off(result),
    }
  }

  /// Records whether the store serves this daemon. Once it does again after a long failure, the
  /// watch restarts, since its connection may have died silently.
  fn note_contact(&mut self, call: u64, result: &store::Result<Reply>) {
    let now = self.now.time;
    if let Err(
      err @ (store::Error::Unknown { .. }
      | store::Error::Refused(Refusal::TooMany { .. } | Refusal::Unreachable { .. })),
    ) = result
    {
      if self.failing_since.is_none() {
        self.failing_since = Some(now);
        self.registration.renew_at_once();
        // The call, its duration and its progress distinguish a silent store from a saturated link.
        let purpose = self.call_purpose(call);
        self.log(format!("the store does not serve this box, asked for {purpose}: {err}"));
        self.send_heartbeats();
      }
      return;
    }
    self.contact_at = Some(now);
    // Other calls say nothing about changes, and a stale answer nothing about the newest version.
    let is_silent = matches!(
      self.watch,
      WatchPhase::Idle { .. } | WatchPhase::Listing { may_be_stale: true, .. }
    );
    if !is_silent {
      self.confirmed_at = Some(now);
    }
    let Some(since) = self.failing_since.take() else {
      return;
    };
    let failed_ms = now.since_ms(since);
    self.log(format!("the store serves this box again, after {failed_ms} ms"));
    if let WatchPhase::Watching { after, .. } = self.watch
      && failed_ms >= Self::WATCH_DISTRUST_MS
    {
      self.watch = WatchPhase::Idle { after: Some(after) };
    }
    self.directory_at = now;
  }

  /// Describes the purpose of a pending call for the log.
  fn call_purpose(&self, call: u64) -> &'static str {
    match self.watch {
      WatchPhase::Listing { call: own, .. } if own == call => "the configuration",
      _ if self.directory_call == Some(call) => "the directory",
      _ if self.registration.awaits(call) => "the own entry",
      // Includes a watch that is no longer needed and ends later.
      _ => "changes",
    }
  }

  fn back_off(&mut self, result: &store::Result<Reply>) {
    if matches!(result, Err(store::Error::Refused(Refusal::Compacted))) {
      self
        .log("the store has compacted the history of the watch: reading the newest configuration");
      self.read_configuration(false);
      return;
    }
    let is_watching = matches!(self.watch, WatchPhase::Watching { .. });
    if is_watching && matches!(result, Err(store::Error::Refused(Refusal::AnswerTooLarge { .. }))) {
      // A read returns only the newest state; a stale read would lead to the same changes again.
      self.log("the watch received too many changes at once: reading the newest configuration");
      self.read_configuration(false);
      return;
    }
    let after = self.watch_revision();
    let base_ms = (100 << self.watch_failures.min(4)).min(Self::WATCH_RETRY_MAX_MS);
    self.watch_failures = self.watch_failures.saturating_add(1);
    let pause_ms = self.rng.random_range(base_ms / 2..=base_ms);
    self.watch = WatchPhase::Backoff { after, until: self.now.time.after(pause_ms) };
  }

  /// Delays the next watch so that changes in quick succession cost one call.
  fn batch_changes(&mut self, after: Revision) {
    let until = self.now.time.after(self.identity.timing.endpoint_delay_ms);
    self.watch = WatchPhase::Batching { after, until };
  }

  pub(super) fn wait_for_changes(&mut self, after: Revision) {
    self.watch_lagging_since = None;
    let prefix = self.source.prefix();
    // A daemon that has just started does not know yet whether it remains a watcher.
    let is_lasting = self.is_watcher() && !self.is_settling();
    let wait_ms = if is_lasting { self.watch_wait_ms() } else { Self::TEMPORARY_WATCH_MS };
    let call = self.call_store(StoreRequest::Watch { after, prefix, wait_ms });
    self.watch = WatchPhase::Watching { after, call };
  }

  fn note_entry(&mut self, entry: &Entry) {
    if entry.key != self.source.key() {
      if !self.note_evacuation(&entry.key, entry.revision, true) {
        self.note_order(entry);
      }
      return;
    }
    match entry.value.text() {
      Ok(text) => self.take_configuration(text),
      Err(reason) => self.refuse_unreadable(ParseError::unknown_version(reason)),
    }
  }

  fn take_configuration(&mut self, value: &str) {
    let configuration = match self.source.read(value) {
      Ok(configuration) => configuration,
      Err(unreadable) => return self.refuse_unreadable(unreadable),
    };
    let version = configuration.version;
    // This value is newer than a value without a version, which was read before.
    self.refused.take_if(|refused| refused.version.is_none());
    if self.catalog.version() >= Some(version) {
      return;
    }
    match self.catalog.apply_whole(configuration, self.now.unix_ms) {
      Ok(()) => self.publish_configuration(),
      Err(err) => self.refuse(err.to_string(), Some(version)),
    }
  }

  fn refuse_unreadable(&mut self, unreadable: ParseError) {
    let ParseError { reason, version } = unreadable.clone();
    self.catalog.record_refusal(self.now.unix_ms, Error::Unreadable(unreadable));
    self.refuse(reason, version);
  }

  fn refuse(&mut self, reason: String, version: Option<Version>) {
    let now = self.now.time;
    let before = self.refused.take();
    let is_new = before.as_ref().is_none_or(|before| before.version != version);
    let since = before.map_or(now, |before| before.since);
    let log_at = now.after(Self::REFUSED_LOG_MS);
    let held = self.catalog.version();
    self.refused = Some(RefusedVersion { held, log_at, reason: reason.clone(), since, version });
    self.act(Action::ReportRefusal { reason, version });
    if let Some(version) = version {
      self.note_newer(version);
    }
    if is_new {
      self.announce_refused();
    }
  }

  /// Logs again that the newest version is not in force here: the first line about the refusal may
  /// have been displaced by those of requests when somebody looks.
  pub(super) fn tick_refused(&mut self) {
    let now = self.now.time;
    let Some(refused) = self.refused.as_mut().filter(|refused| now >= refused.log_at) else {
      return;
    };
    refused.log_at = now.after(Self::REFUSED_LOG_MS);
    let (refused_ms, reason) = (now.since_ms(refused.since), refused.reason.clone());
    let held = self.catalog.version().map_or("none".into(), |version| version.to_string());
    self.log(format!(
      "the store's configuration is refused, for {refused_ms} ms so far; version {held} \
       stays in force: {reason}"
    ));
  }
}
