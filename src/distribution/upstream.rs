use super::*;

/// How a daemon that is not a relay finds one and stays with it.
#[derive(Clone, Debug, Default)]
pub struct Upstream {
  /// Failed tries in a row. Forgotten only once a beat comes from a subscribed upstream.
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
  /// Longest pause between two tries.
  const BACKOFF_MAX_MS: u64 = 5_000;
  /// Shortest pause between two tries.
  const BACKOFF_MIN_MS: u64 = 50;
  /// Tries beyond the known relays after which any daemon with a configuration will do.
  const DESPERATE_AFTER: usize = 4;
  /// Milliseconds over which boxes spread that hear of a relay at once.
  const ENCOURAGED_SPREAD_MS: u64 = 100;
  /// Longest wait for a connection and for the answer to a subscription.
  const PATIENCE_MS: u64 = 2_000;

  /// The link to the daemon that serves this one.
  pub fn link(&self) -> Option<LinkId> {
    match self.phase {
      Phase::Subscribed { link } => Some(link),
      _ => None,
    }
  }

  /// Whether the link is the one on which an answer is awaited.
  pub(super) fn is_asking(&self, link: LinkId) -> bool {
    matches!(self.phase, Phase::Asking { link: asked, .. } if asked == link)
  }

  /// Whether a connection to that box is being opened.
  pub(super) fn is_connecting(&self, box_id: &BoxId) -> bool {
    matches!(&self.phase, Phase::Connecting { target, .. } if target == box_id)
  }

  /// Whether any daemon with a configuration will do.
  pub(super) fn is_desperate(&self, relays: usize) -> bool {
    self.failures as usize >= relays + Self::DESPERATE_AFTER
  }

  /// The next box to try, where it is time for a try.
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

  /// Whether a try takes too long; its link, where there is one, should be closed.
  pub(super) fn is_overdue(&self, now: Time) -> bool {
    match self.phase {
      Phase::Asking { since, .. } | Phase::Connecting { since, .. } => {
        now.since_ms(since) > Self::PATIENCE_MS
      }
      _ => false,
    }
  }

  /// The link of the present try or subscription.
  pub(super) fn any_link(&self) -> Option<LinkId> {
    match self.phase {
      Phase::Asking { link, .. } | Phase::Subscribed { link } => Some(link),
      _ => None,
    }
  }

  /// A subscription was asked for.
  pub(super) fn asked(&mut self, now: Time, link: LinkId) {
    self.phase = Phase::Asking { link, since: now };
  }

  /// There is a relay to try: a pause ends early, at a moment that differs from box to box.
  pub(super) fn encouraged(&mut self, now: Time, rng: &mut ChaCha8Rng) {
    if let Phase::Idle { next_at } = &mut self.phase {
      self.failures = 0;
      *next_at = now.after(rng.random_range(0..=Self::ENCOURAGED_SPREAD_MS)).min(*next_at);
    }
  }

  /// The subscription stands.
  pub(super) fn welcomed(&mut self, link: LinkId) {
    self.phase = Phase::Subscribed { link };
  }

  /// The upstream shows that it is alive.
  pub(super) fn progressed(&mut self) {
    self.failures = 0;
  }

  /// The try or the subscription ended; the next try follows after a pause.
  pub(super) fn fail(&mut self, now: Time, rng: &mut ChaCha8Rng) {
    let base_ms = (Self::BACKOFF_MIN_MS << self.failures.min(7)).min(Self::BACKOFF_MAX_MS);
    let pause_ms = rng.random_range(base_ms / 2..=base_ms * 3 / 2);
    self.failures = self.failures.saturating_add(1);
    self.phase = Phase::Idle { next_at: now.after(pause_ms) };
  }

  /// The daemon is a relay now and needs no upstream.
  pub(super) fn rest(&mut self) {
    *self = Self::default();
  }
}

/// A seed, from the own data hall in half of the cases.
fn random_seed(own: &Peer, seeds: &[Peer], rng: &mut ChaCha8Rng) -> Option<Peer> {
  let others: Vec<&Peer> = seeds.iter().filter(|peer| peer.box_id != own.box_id).collect();
  let near: Vec<&Peer> =
    others.iter().copied().filter(|peer| peer.data_hall == own.data_hall).collect();
  let pool = if near.is_empty() || rng.random_bool(0.5) { others } else { near };
  pool.choose(rng).map(|peer| (*peer).clone())
}
