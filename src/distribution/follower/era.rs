use super::*;

/// The store comes back from a copy: all that it was told since the copy was made is gone, leases too.
impl Follower {
  /// Milliseconds over which the boxes of a fleet write their entries again: two calls each are soon enough for
  /// entries to be back within two seconds, and 962 boxes then make less than 3,900 calls a second.
  const REWRITE_SPREAD_MS: u64 = 500;
  /// Milliseconds after which the directory is read: by then every box that lives had the time to write its entry.
  const ENTRIES_BACK_MS: u64 = 2_000;

  /// Somebody told of the store's era. Returns whether it is a new one: what was under way says nothing then.
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

  /// What the store holds for this box is written again whatever a renewal would say: numbers of leases are given
  /// out again. What this daemon holds of the store's stays, for the fleet knows it; it is read anew and taken where
  /// it is newer.
  fn start_over(&mut self) {
    let now = self.now.time;
    self.act(Action::StoreRestored(self.era.unwrap_or_default()));
    let spread_ms = self.rng.random_range(0..=Self::REWRITE_SPREAD_MS);
    self.registration.reset(now.after(spread_ms));
    self.directory_call = None;
    self.directory_at = now.after(Self::ENTRIES_BACK_MS + spread_ms);
    self.lapsed.clear();
    self.kept_entries.clear();
    self.neighbours_revision = None;
    self.failing_since = None;
    self.rollout_calls.clear();
    self.rollouts.store_went_back();
    self.announce();
    if self.must_watch() {
      self.read_configuration(false);
    } else {
      self.watch = WatchPhase::Resting { after: None };
    }
    // Others learn of it at once, also those without a path to the store.
    self.send_beats();
  }
}
