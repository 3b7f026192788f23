use super::*;

/// A box whose link ended without a word: it may have started anew.
#[derive(Clone, Debug)]
pub(super) struct Returning {
  /// When it is called next; nothing while a call is under way.
  call_at: Option<Time>,
  pause_ms: u64,
  peer: Peer,
  since: Time,
}

/// Calling back boxes that start anew. A daemon learns from the store who else there is; where the store
/// does not serve it, it knows nobody and holds nothing, so its old neighbours offer themselves. In an
/// outage that brings a restarted box back within half a second rather than at the outage's end.
impl Follower {
  /// Milliseconds after which a box that cannot be reached is taken for lost: a process that starts anew is back in
  /// less, and one that stood still or was cut off for longer takes no requests for its neighbours either.
  const LOST_MS: u64 = 4_000;
  /// Milliseconds after which a box is called first: a process starts in less.
  const CALL_BACK_FIRST_MS: u64 = 250;
  /// Longest pause between two calls of a box, in milliseconds.
  const CALL_BACK_PAUSE_MAX_MS: u64 = 2_000;
  /// Milliseconds after which a box that does not answer is not called any more: it left for good, or
  /// finds its neighbours itself once the store serves it.
  const CALL_BACK_UNTIL_MS: u64 = 15_000;
  /// Milliseconds after which a link is closed that nobody subscribed to.
  const OFFER_MS: u64 = 1_000;

  /// A link ended at the other end, or on the way.
  pub(super) fn link_lost(&mut self, link: LinkId) {
    let lost = self.links.get(&link).filter(|lost| lost.role != LinkRole::Pending);
    let known = lost.and_then(|lost| self.endpoints.get(&lost.peer));
    if let Some(peer) = known.map(|endpoint| endpoint.peer.clone()) {
      let (since, pause_ms) = (self.now.time, Self::CALL_BACK_FIRST_MS);
      let call_at = Some(since.after(pause_ms));
      let returning = Returning { call_at, pause_ms, peer, since };
      self.returning.insert(returning.peer.box_id.clone(), returning);
    }
    self.link_closed(link);
  }

  /// Calls boxes that may be back, while this daemon has something to offer them.
  pub(super) fn tick_returning(&mut self) {
    let now = self.now.time;
    self.close_unused_offers();
    let linked: BTreeSet<BoxId> = self.links.values().map(|link| link.peer.clone()).collect();
    self.returning.retain(|box_id, returning| {
      !linked.contains(box_id) && now.since_ms(returning.since) < Self::CALL_BACK_UNTIL_MS
    });
    if self.catalog.version().is_none() {
      return;
    }
    let mut due = Vec::new();
    for (box_id, returning) in &mut self.returning {
      let is_due = returning.call_at.is_some_and(|at| now >= at);
      if is_due && !self.connecting.contains_key(box_id) {
        returning.call_at = None;
        due.push(returning.peer.clone());
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

  /// Whether a link that opens now is a call to a box that may be back.
  pub(super) fn is_call_back(&self, peer: &BoxId) -> bool {
    self.returning.get(peer).is_some_and(|returning| returning.call_at.is_none())
  }

  /// A call to a box failed. Returns whether it was one to a box that may be back.
  pub(super) fn call_back_failed(&mut self, box_id: &BoxId) -> bool {
    let now = self.now.time;
    let called = self.returning.get_mut(box_id).filter(|returning| returning.call_at.is_none());
    let Some(returning) = called else {
      return false;
    };
    returning.pause_ms = (returning.pause_ms * 2).min(Self::CALL_BACK_PAUSE_MAX_MS);
    returning.call_at = Some(now.after(returning.pause_ms));
    if now.since_ms(returning.since) >= Self::LOST_MS && self.hears_others() {
      self.take_for_lost(box_id, "its link ended, and it cannot be reached");
    }
    true
  }

  /// Whether this daemon is not cut off itself: the store serves it, and other boxes speak to it.
  fn hears_others(&self) -> bool {
    let now = self.now.time;
    let speaks = |link: &Link| now.since_ms(link.last_received_at) <= Self::SILENCE_MS;
    self.failing_since.is_none() && self.links.values().any(speaks)
  }

  /// Tells the fleet that a box is gone. One that lives hears of it by others, and says so.
  fn take_for_lost(&mut self, box_id: &BoxId, reason: &str) {
    let known = self.endpoints.get(box_id).filter(|known| !known.state.is_gone());
    let Some(known) = known else {
      return;
    };
    let lost = Endpoint { state: EndpointState::Lost, ..known.clone() };
    if self.endpoints.merge(self.now.time, lost.clone()) {
      self.log(format!("box {box_id} is taken for lost: {reason}"));
      self.news_taken(&[lost], None);
    }
  }
}
