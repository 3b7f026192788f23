use super::*;

/// Finding a watch that will never be answered: its connection went silent, or the store lost it, while
/// other calls go well.
///
/// Each watcher hears from another one, in a ring. So a change that any watch tells of reaches all watchers
/// within milliseconds, and one that was not told of it by its own watch begins that anew. Where all watches
/// are silent nobody is told, so watches end in turns: at any time one of the fleet begins anew soon.
impl Follower {
  /// Milliseconds after a neighbour brought a change by which the own watch must have told of it: a few
  /// hundred kilobytes on a link of 10 Mbit/s, while the change is in force already.
  const OUTRUN_MS: u64 = 1_000;
  /// Milliseconds between the turns of two watchers to begin their watch anew. With the second that a silent
  /// one is waited for, a fleet whose watches are all silent is told of changes again within 2.6 s, for two
  /// calls in three seconds whatever its size.
  const TURN_MS: u64 = 1_500;
  /// Longest wait of one watch in milliseconds; the store takes up to 30 s.
  const WATCH_MAX_MS: u64 = 25_000;

  /// Milliseconds that a watch which begins now waits: until the box's turn, or the next one where that is
  /// too soon for a call to be worth it.
  pub(super) fn watch_ms(&self) -> u64 {
    self.until_turn_ms(Self::TURN_MS).min(Self::WATCH_MAX_MS)
  }

  /// Milliseconds until this watcher's turn among all watchers, or the next one where that is too soon.
  pub(super) fn until_turn_ms(&self, turn_ms: u64) -> u64 {
    let own = &self.own.peer.box_id;
    let round_ms = self.watchers.round_ms(turn_ms);
    let until_ms = self.watchers.until_turn_ms(own, self.now.unix_ms, turn_ms).unwrap_or(round_ms);
    if until_ms < turn_ms / 2 { until_ms + round_ms } else { until_ms }
  }

  /// A neighbour brought a change. Where this daemon watches the store, its watch must tell of it too.
  pub(super) fn note_outrun(&mut self) {
    if matches!(self.watch, WatchPhase::Watching { .. }) {
      self.outrun_since.get_or_insert(self.now.time);
    }
  }

  /// Begins a watch anew that did not tell of what neighbours told of.
  pub(super) fn tick_outrun(&mut self) {
    let WatchPhase::Watching { after, .. } = self.watch else {
      self.outrun_since = None;
      return;
    };
    let outrun_ms = self.outrun_since.map_or(0, |since| self.now.time.since_ms(since));
    if outrun_ms >= Self::OUTRUN_MS {
      self.log(format!(
        "the watch did not tell of a version within {outrun_ms} ms of a neighbour: it is begun anew"
      ));
      self.wait_for_changes(self.revision_held(after));
    }
  }

  /// The revision up to which all changes are held: the own watch's, or one of a neighbour that holds nothing
  /// newer.
  pub(super) fn revision_held(&self, after: Revision) -> Revision {
    self.neighbours_revision.map_or(after, |revision| revision.max(after))
  }

  /// A watcher hears from the next one of the fleet that it can reach, and from nobody else.
  pub(super) fn hear_from_next_watcher(&mut self) {
    let is_free = |peer: &&Peer| !self.avoided.contains_key(&peer.box_id);
    let next = self.watchers.sources_for(&self.own.peer.box_id).find(is_free);
    let Some(next) = next.cloned() else {
      return;
    };
    let upstreams = self.links.iter().filter(|(_, link)| link.role == LinkRole::Upstream);
    let (heard, others): (Vec<_>, Vec<_>) =
      upstreams.partition(|(_, link)| link.peer == next.box_id);
    if !heard.is_empty() {
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
