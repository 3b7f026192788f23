use super::*;

/// Detects a watch that will never be answered, because its connection went silent or the store
/// lost it, while other calls succeed.
///
/// Each watcher subscribes to another one, in a ring. A change that any watch reports thus reaches
/// all watchers within milliseconds, and a watcher whose own watch did not report it restarts that
/// watch. If all watches are silent, no watcher learns of changes; watches therefore end in time
/// slots, so that at any time one of the fleet's watches restarts soon.
impl Follower {
  /// Time, in milliseconds, within which the own watch must report a change that a neighbour
  /// brought: enough for a few hundred kilobytes on a link of 10 Mbit/s, while the change is in
  /// force already.
  const WATCH_LAG_MAX_MS: u64 = 1_000;
  /// Interval between the slots of two watchers to restart their watch, in milliseconds. Including
  /// the second for which a silent watch is waited for, a fleet whose watches are all silent
  /// receives changes again within 2.6 s, at two calls in three seconds whatever its size.
  const WATCH_SLOT_MS: u64 = 1_500;
  /// Maximum wait of one watch, in milliseconds; the store accepts up to 30 s.
  const WATCH_MAX_MS: u64 = 25_000;

  /// Wait, in milliseconds, of a watch that starts now: until the box's next slot that is far
  /// enough away to be worth a call.
  pub(super) fn watch_wait_ms(&self) -> u64 {
    self.until_slot_ms(Self::WATCH_SLOT_MS).min(Self::WATCH_MAX_MS)
  }

  /// Milliseconds until this watcher's slot among all watchers, or the one after it if that is too
  /// soon.
  pub(super) fn until_slot_ms(&self, slot_ms: u64) -> u64 {
    let own = &self.own.peer.box_id;
    let round_ms = self.watchers.round_ms(slot_ms);
    let until_ms = self.watchers.until_turn_ms(own, self.now.unix_ms, slot_ms).unwrap_or(round_ms);
    if until_ms < slot_ms / 2 { until_ms + round_ms } else { until_ms }
  }

  /// Records that a neighbour brought a change. If this daemon watches the store, its watch must
  /// report the change too.
  pub(super) fn note_watch_lag(&mut self) {
    if matches!(self.watch, WatchPhase::Watching { .. }) {
      self.watch_lagging_since.get_or_insert(self.now.time);
    }
  }

  /// Restarts a watch that did not report a change in time.
  pub(super) fn tick_watch_lag(&mut self) {
    let WatchPhase::Watching { after, .. } = self.watch else {
      self.watch_lagging_since = None;
      return;
    };
    let lag_ms = self.watch_lagging_since.map_or(0, |since| self.now.time.since_ms(since));
    if lag_ms >= Self::WATCH_LAG_MAX_MS {
      self.log(format!(
        "the watch did not report a version within {lag_ms} ms of a neighbour: restarting it"
      ));
      self.wait_for_changes(self.revision_held(after));
    }
  }

  /// The revision up to which all changes are held: the own watch's, or that of a neighbour that
  /// holds nothing newer.
  pub(super) fn revision_held(&self, after: Revision) -> Revision {
    self.neighbours_revision.map_or(after, |revision| revision.max(after))
  }

  /// Subscribes a watcher to the next reachable watcher of the fleet, and to no other box.
  pub(super) fn subscribe_to_next_watcher(&mut self) {
    let is_free = |peer: &&Peer| !self.avoided.contains_key(&peer.box_id);
    let next = self.watchers.sources_for(&self.own.peer.box_id).find(is_free);
    let Some(next) = next.cloned() else {
      return;
    };
    let upstreams = self.links.iter().filter(|(_, link)| link.role == LinkRole::Upstream);
    let (subscribed, others): (Vec<_>, Vec<_>) =
      upstreams.partition(|(_, link)| link.peer == next.box_id);
    if !subscribed.is_empty() {
      let needless: Vec<LinkId> = others.into_iter().map(|(id, _)| *id).collect();
      for link in needless {
        self.close_link(link);
      }
    } else if !self.connecting.contains_key(&next.box_id) {
      self.connecting.insert(next.box_id.clone(), self.now.time);
      self.act(Action::OpenLink(next));
    }
  }
}
