use super::*;

/// A box whose link ended unexpectedly: it may be restarting.
#[derive(Clone, Debug)]
pub(super) struct Reconnect {
  /// When the next attempt is made; `None` while one is pending.
  attempt_at: Option<Time>,
  pause_ms: u64,
  peer: Peer,
  since: Time,
}

/// Reconnects to boxes that restart. A daemon learns from the store which other boxes exist. If the
/// store does not serve it, it knows no other box and holds no configuration, so its former
/// neighbours connect to it and offer theirs. In an outage this restores a restarted box within
/// half a second instead of at the outage's end.
impl Follower {
  /// Time, in milliseconds, after which an unreachable box is declared lost. A restarting process
  /// is back sooner, and one that was paused or cut off for longer accepts no requests for its
  /// neighbours either.
  const LOST_MS: u64 = 4_000;
  /// Delay, in milliseconds, before the first attempt: a process starts in less.
  const RECONNECT_FIRST_MS: u64 = 250;
  /// Maximum pause between two attempts to reach a box, in milliseconds.
  const RECONNECT_PAUSE_MAX_MS: u64 = 2_000;
  /// Time, in milliseconds, after which attempts end: the box has left for good, or finds its
  /// neighbours itself once the store serves it.
  const RECONNECT_UNTIL_MS: u64 = 15_000;
  /// Time, in milliseconds, after which a link without a subscription is closed.
  const OFFER_MS: u64 = 1_000;

  /// Handles a link that ended at the other end, or in the network.
  pub(super) fn link_lost(&mut self, link: LinkId) {
    let lost = self.links.get(&link).filter(|lost| lost.role != LinkRole::Pending);
    let known = lost.and_then(|lost| self.endpoints.get(&lost.peer));
    if let Some(peer) = known.map(|endpoint| endpoint.peer.clone()) {
      let (since, pause_ms) = (self.now.time, Self::RECONNECT_FIRST_MS);
      let attempt_at = Some(since.after(pause_ms));
      let reconnect = Reconnect { attempt_at, pause_ms, peer, since };
      self.reconnects.insert(reconnect.peer.box_id.clone(), reconnect);
    }
    self.link_closed(link);
  }

  /// Opens links to boxes that may be back, if this daemon has a configuration to offer them.
  pub(super) fn tick_reconnects(&mut self) {
    let now = self.now.time;
    self.close_unused_offers();
    let linked: BTreeSet<BoxId> = self.links.values().map(|link| link.peer.clone()).collect();
    self.reconnects.retain(|box_id, reconnect| {
      !linked.contains(box_id) && now.since_ms(reconnect.since) < Self::RECONNECT_UNTIL_MS
    });
    if self.catalog.version().is_none() {
      return;
    }
    let mut due = Vec::new();
    for (box_id, reconnect) in &mut self.reconnects {
      let is_due = reconnect.attempt_at.is_some_and(|at| now >= at);
      if is_due && !self.connecting.contains_key(box_id) {
        reconnect.attempt_at = None;
        due.push(reconnect.peer.clone());
      }
    }
    for peer in due {
      self.act(Action::OpenLink(peer));
    }
  }

  fn close_unused_offers(&mut self) {
    let now = self.now.time;
    let is_unused =
      |link: &Link| link.role == LinkRole::Pending && now.since_ms(link.opened_at) > Self::OFFER_MS;
    let unused = self.links.iter().filter(|(_, link)| is_unused(link));
    let unused: Vec<LinkId> = unused.map(|(id, _)| *id).collect();
    for link in unused {
      self.close_link(link);
    }
  }

  /// Whether a link that opens now is an attempt to reconnect.
  pub(super) fn is_reconnect(&self, peer: &BoxId) -> bool {
    self.reconnects.get(peer).is_some_and(|reconnect| reconnect.attempt_at.is_none())
  }

  /// Handles a link that failed to open. Returns whether it was an attempt to reconnect.
  pub(super) fn reconnect_failed(&mut self, box_id: &BoxId) -> bool {
    let now = self.now.time;
    let attempted =
      self.reconnects.get_mut(box_id).filter(|reconnect| reconnect.attempt_at.is_none());
    let Some(reconnect) = attempted else {
      return false;
    };
    reconnect.pause_ms = (reconnect.pause_ms * 2).min(Self::RECONNECT_PAUSE_MAX_MS);
    reconnect.attempt_at = Some(now.after(reconnect.pause_ms));
    if now.since_ms(reconnect.since) >= Self::LOST_MS && self.is_connected() {
      self.declare_unreachable(box_id, "its link ended, and it cannot be reached");
    }
    true
  }

  /// Whether this daemon is not cut off itself: the store serves it, and other boxes send to it.
  fn is_connected(&self) -> bool {
    let now = self.now.time;
    let is_heard = |link: &Link| now.since_ms(link.last_received_at) <= Self::SILENCE_MS;
    self.failing_since.is_none() && self.links.values().any(is_heard)
  }

  /// Declares a box lost to the fleet. A box that is alive learns of it from others and corrects
  /// it.
  fn declare_unreachable(&mut self, box_id: &BoxId, reason: &str) {
    let known = self.endpoints.get(box_id).filter(|known| !known.state.is_gone());
    let Some(known) = known else {
      return;
    };
    let lost = Endpoint { state: EndpointState::Lost, ..known.clone() };
    if self.endpoints.merge(self.now.time, lost.clone()) {
      self.log(format!("box {box_id} is declared lost: {reason}"));
      self.endpoints_merged(&[lost], None);
    }
  }
}
