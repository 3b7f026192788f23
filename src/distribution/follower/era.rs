use super::*;

/// Handles a store that was restored from a backup: everything written since the backup is gone,
/// leases included.
impl Follower {
  /// Period, in milliseconds, over which the boxes of a fleet rewrite their entries. At two calls a
  /// box, entries are back within two seconds, and 962 boxes make less than 3,900 calls a second.
  const REWRITE_SPREAD_MS: u64 = 500;
  /// Delay, in milliseconds, before the directory is read: every live box has had time to rewrite
  /// its entry.
  const ENTRIES_BACK_MS: u64 = 2_000;

  /// Records the store's era. Returns whether it is a new one, which makes pending calls
  /// meaningless.
  pub(super) fn note_era(&mut self, era: Era) -> bool {
    let Some(known) = self.era else {
      self.era = Some(era);
      return false;
    };
    if era <= known {
      return false;
    }
    self.era = Some(era);
    self.start_over();
    true
  }

  /// Rewrites this box's entry whatever a renewal would answer, because the store reissues lease
  /// numbers. The held configuration stays, for the fleet knows it; the store is read again, and
  /// what is newer there is applied.
  fn start_over(&mut self) {
    let now = self.now.time;
    self.act(Action::StoreRestored(self.era.unwrap_or_default()));
    let spread_ms = self.rng.random_range(0..=Self::REWRITE_SPREAD_MS);
    self.registration.reset(now.after(spread_ms));
    self.directory_call = None;
    self.directory_at = now.after(Self::ENTRIES_BACK_MS + spread_ms);
    self.lapsed.clear();
    self.entries_for_others.clear();
    self.neighbours_revision = None;
    self.failing_since = None;
    self.rollout_calls.clear();
    self.rollouts.store_restored();
    self.announce();
    if self.must_watch() {
      self.read_configuration(false);
    } else {
      self.watch = WatchPhase::Idle { after: None };
    }
    // Informs neighbours at once, including those that cannot reach the store.
    self.send_heartbeats();
  }
}
