use super::*;

/// Finds a relay for a daemon that is not one, and stays subscribed to it.
#[derive(Clone, Debug, Default)]
pub struct Upstream {
  /// Consecutive failed attempts. Reset only by a heartbeat from the subscribed upstream, or by a
  /// new relay during a pause.
  failures: u32,
  phase: Phase,
}

#[derive(Clone, Debug)]
enum Phase {
  Asking { link: LinkId, since: Time },
  Connecting { since: Time, target: BoxId },
  Idle { next_at: Time },
  Subscribed { link: LinkId },
}

impl Default for Phase {
  fn default() -> Self {
    Self::Idle { next_at: Time(0) }
  }
}

impl Upstream {
  /// Longest base pause between two attempts, in milliseconds.
  const BACKOFF_MAX_MS: u64 = 5_000;
  /// Shortest base pause between two attempts, in milliseconds.
  const BACKOFF_MIN_MS: u64 = 50;
  /// Failed attempts beyond the number of known relays after which any daemon with a configuration
  /// is accepted.
  const ANY_DAEMON_AFTER: usize = 4;
  /// Range of the random delay with which boxes that learn of a relay at the same time connect to
  /// it, in milliseconds.
  const RELAY_FOUND_SPREAD_MS: u64 = 100;
  /// Timeout of a connection attempt, and of the answer to a subscription, in milliseconds.
  const TIMEOUT_MS: u64 = 2_000;

  /// Returns the link to the daemon that serves this one.
  pub fn link(&self) -> Option<LinkId> {
    match self.phase {
      Phase::Subscribed { link } => Some(link),
      _ => None,
    }
  }

  /// Whether an answer to a subscription is awaited on `link`.
  pub(super) fn is_asking(&self, link: LinkId) -> bool {
    matches!(self.phase, Phase::Asking { link: asked, .. } if asked == link)
  }

  /// Whether a connection to `box_id` is being opened.
  pub(super) fn is_connecting(&self, box_id: &BoxId) -> bool {
    matches!(&self.phase, Phase::Connecting { target, .. } if target == box_id)
  }

  /// Whether any daemon with a configuration is accepted as the upstream.
  pub(super) fn accepts_any_daemon(&self, relays: usize) -> bool {
    self.failures as usize >= relays + Self::ANY_DAEMON_AFTER
  }

  /// Returns the next box to connect to, if an attempt is due.
  pub(super) fn tick(
    &mut self,
    now: Time,
    own: &Peer,
    relays: &Relays,
    seeds: &[Peer],
    rng: &mut ChaCha8Rng,
  ) -> Option<Peer> {
    let Phase::Idle { next_at } = self.phase else {
      return None;
    };
    if now < next_at {
      return None;
    }
    let ranked = relays.ranked_for(own);
    let round_ended = self.failures as usize >= ranked.len();
    let known = ranked.get(self.failures as usize % ranked.len().max(1)).cloned();
    let target = if round_ended && (ranked.is_empty() || rng.random_bool(0.5)) {
      random_seed(own, seeds, rng)
    } else {
      known
    };
    match &target {
      Some(peer) => {
        self.phase = Phase::Connecting { since: now, target: peer.box_id.clone() };
      }
      None => self.fail(now, rng),
    }
    target
  }

  /// Whether the present attempt timed out. Its link, if there is one, should be closed.
  pub(super) fn is_overdue(&self, now: Time) -> bool {
    match self.phase {
      Phase::Asking { since, .. } | Phase::Connecting { since, .. } => {
        now.since_ms(since) > Self::TIMEOUT_MS
      }
      _ => false,
    }
  }

  /// Returns the link of the present attempt or subscription.
  pub(super) fn any_link(&self) -> Option<LinkId> {
    match self.phase {
      Phase::Asking { link, .. } | Phase::Subscribed { link } => Some(link),
      _ => None,
    }
  }

  /// Records that a subscription was requested on `link`.
  pub(super) fn asked(&mut self, now: Time, link: LinkId) {
    self.phase = Phase::Asking { link, since: now };
  }

  /// Ends a pause early, after a random delay, because a relay became known.
  pub(super) fn relay_found(&mut self, now: Time, rng: &mut ChaCha8Rng) {
    if let Phase::Idle { next_at } = &mut self.phase {
      self.failures = 0;
      *next_at = now.after(rng.random_range(0..=Self::RELAY_FOUND_SPREAD_MS)).min(*next_at);
    }
  }

  /// Records that the subscription was accepted.
  pub(super) fn subscribed(&mut self, link: LinkId) {
    self.phase = Phase::Subscribed { link };
  }

  /// Resets the count of failures, because the upstream is alive.
  pub(super) fn reset_failures(&mut self) {
    self.failures = 0;
  }

  /// Ends the attempt or subscription, and schedules the next attempt after a pause.
  pub(super) fn fail(&mut self, now: Time, rng: &mut ChaCha8Rng) {
    let base_ms = (Self::BACKOFF_MIN_MS << self.failures.min(7)).min(Self::BACKOFF_MAX_MS);
    let pause_ms = rng.random_range(base_ms / 2..=base_ms * 3 / 2);
    self.failures = self.failures.saturating_add(1);
    self.phase = Phase::Idle { next_at: now.after(pause_ms) };
  }

  /// Returns to the initial state, for a daemon that became a relay.
  pub(super) fn reset(&mut self) {
    *self = Self::default();
  }
}

/// Picks a random seed, half of the time only among those of the own data hall, if there are any.
fn random_seed(own: &Peer, seeds: &[Peer], rng: &mut ChaCha8Rng) -> Option<Peer> {
  let others: Vec<&Peer> = seeds.iter().filter(|peer| peer.box_id != own.box_id).collect();
  let near: Vec<&Peer> =
    others.iter().copied().filter(|peer| peer.data_hall == own.data_hall).collect();
  let pool = if near.is_empty() || rng.random_bool(0.5) { others } else { near };
  pool.choose(rng).map(|peer| (*peer).clone())
}
