use super::*;

/// The rate limits of organisations at one daemon: the ledgers that it keeps, and what it holds of the tokens of
/// others.
///
/// `W` is whatever wakes a request that waits.
#[derive(Clone, Debug)]
pub struct RateLimits<W> {
  allotments: BTreeMap<OrganisationName, Allotment<W>>,
  keepers: Keepers,
  ledgers: BTreeMap<OrganisationName, Ledger>,
  /// Boxes that may spend tokens and are not there: they may be cut off, and go on by themselves.
  lost: usize,
}

/// What becomes of a request of an organisation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
  /// It may go on.
  Admitted,
  /// The organisation asks for more than it may.
  Refused {
    /// Milliseconds after which to come back.
    retry_after_ms: u64,
  },
}

/// What happens to a request that arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrived {
  /// Its admission; nothing while it waits to be woken.
  pub admission: Option<Admission>,
  /// Tokens to be drawn from the ledger now; nothing where that is not needed or under way.
  pub draw: Option<u64>,
}

/// What follows from the ledger's answer.
#[derive(Clone, Debug)]
pub struct Woken<W> {
  /// Tokens to be drawn for requests that came meanwhile.
  pub draw: Option<u64>,
  /// Requests that need not wait any more.
  pub settled: Vec<(W, Admission)>,
}

impl<W> RateLimits<W> {
  /// Milliseconds for which requests are refused without asking after the ledger had too few tokens.
  const REFUSED_MS: u64 = 50;
  /// Milliseconds after which callers come back whose daemon cannot reach the ledger.
  const SPARE_RETRY_MS: u64 = 500;
  /// Seconds of its part of the rate that a daemon saves up for when it cannot reach the ledger.
  const SPARE_S: f64 = 0.25;
  /// Milliseconds for which a ledger that did not answer is not asked.
  const UNREACHABLE_MS: u64 = 500;

  /// A box is there from now on, or is not.
  pub fn note_box(&mut self, now: Time, box_id: &BoxId, is_there: bool) {
    self.keepers.note(now, box_id, is_there);
  }

  /// So many boxes are lost, and may spend tokens.
  pub fn set_lost(&mut self, lost: usize) {
    self.lost = lost;
  }

  /// Forgets all boxes.
  pub fn forget_boxes(&mut self) {
    self.keepers = Keepers::default();
  }

  /// Forgets organisations that have no limit any more.
  pub fn retain(&mut self, is_limited: impl Fn(&OrganisationName) -> bool) {
    self.allotments.retain(|name, one| !one.waiting.is_empty() || is_limited(name));
    self.ledgers.retain(|name, _| is_limited(name));
  }

  /// The box that keeps an organisation's ledger.
  pub fn keeper(&self, organisation: &OrganisationName) -> Option<&BoxId> {
    self.keepers.keeper(organisation)
  }

  /// A request arrives. `waiter` is kept where it has to wait, and dropped otherwise.
  pub fn arrive(
    &mut self,
    now: Time,
    organisation: &OrganisationName,
    limit: RateLimit,
    waiter: W,
  ) -> Arrived {
    let equal_share = self.equal_share();
    let allotment = self.allotments.entry(organisation.clone()).or_default();
    allotment.demand.note(now, 1);
    if allotment.take(now) {
      return Arrived { admission: Some(Admission::Admitted), draw: allotment.draw(now) };
    }
    if let Some((until, retry_after_ms)) = allotment.refused
      && now < until
    {
      return Arrived { admission: Some(Admission::Refused { retry_after_ms }), draw: None };
    }
    if now < allotment.unreachable_until {
      let admission = allotment.spend_spare(now, limit, equal_share);
      return Arrived { admission: Some(admission), draw: None };
    }
    allotment.waiting.push_back(waiter);
    Arrived { admission: None, draw: allotment.draw(now) }
  }

  /// The ledger answered a draw of `wanted` tokens, or nothing came.
  pub fn drawn(
    &mut self,
    now: Time,
    organisation: &OrganisationName,
    limit: RateLimit,
    wanted: u64,
    grant: Option<Grant>,
  ) -> Woken<W> {
    let equal_share = self.equal_share();
    let allotment = self.allotments.entry(organisation.clone()).or_default();
    allotment.is_drawing = false;
    let mut settled = Vec::new();
    let Some(grant) = grant else {
      allotment.unreachable_until = now.after(Self::UNREACHABLE_MS);
      while let Some(waiter) = allotment.waiting.pop_front() {
        settled.push((waiter, allotment.spend_spare(now, limit, equal_share)));
      }
      return Woken { draw: None, settled };
    };
    allotment.put(now, grant.tokens);
    while !allotment.waiting.is_empty() && allotment.take(now) {
      settled.extend(allotment.waiting.pop_front().map(|waiter| (waiter, Admission::Admitted)));
    }
    if grant.tokens < wanted && !allotment.waiting.is_empty() {
      let retry_after_ms = grant.retry_after_ms;
      allotment.refused = Some((now.after(Self::REFUSED_MS), retry_after_ms));
      let refused = allotment.waiting.drain(..);
      settled.extend(refused.map(|waiter| (waiter, Admission::Refused { retry_after_ms })));
    }
    let draw = if allotment.waiting.is_empty() { None } else { allotment.draw(now) };
    Woken { draw, settled }
  }

  /// A daemon draws tokens from the ledger that this one keeps.
  pub fn draw(
    &mut self,
    now: Time,
    organisation: &OrganisationName,
    limit: RateLimit,
    wanted: u64,
  ) -> Grant {
    let alone_ms = now.since_ms(self.keepers.changed_at());
    let present = self.keepers.count();
    let share = ratio(present, present + self.lost);
    let ledger = self.ledgers.entry(organisation.clone());
    let ledger = ledger.or_insert_with(|| Ledger::new(now, limit, alone_ms));
    ledger.draw(now, limit, share, wanted)
  }

  /// A request that was admitted reached no backend server: its token serves another one.
  pub fn give_back(&mut self, now: Time, organisation: &OrganisationName) {
    if let Some(allotment) = self.allotments.get_mut(organisation) {
      allotment.put(now, 1);
    }
  }

  /// The part of a limit that each daemon spends where it cannot reach the ledger.
  fn equal_share(&self) -> f64 {
    ratio(1, (self.keepers.count() + self.lost).max(1))
  }
}

impl<W> Default for RateLimits<W> {
  fn default() -> Self {
    let (allotments, ledgers) = (BTreeMap::new(), BTreeMap::new());
    Self { allotments, keepers: Keepers::default(), ledgers, lost: 0 }
  }
}

impl<W> Allotment<W> {
  /// Starts a draw where one is due. Returns how many tokens to ask for.
  fn draw(&mut self, now: Time) -> Option<u64> {
    let wanted = self.wanted(now);
    if self.is_drawing || wanted == 0 || now < self.unreachable_until {
      return None;
    }
    self.is_drawing = true;
    Some(wanted)
  }

  /// Decides without the ledger. The first request passes, so that a small organisation is served.
  fn spend_spare(&mut self, now: Time, limit: RateLimit, share: f64) -> Admission {
    let per_s = limit.rate.requests_per_s() * share;
    // The ledger may have given out the whole burst a moment ago.
    let most = (per_s * RateLimits::<W>::SPARE_S).max(1.0);
    let spare = self.spare.get_or_insert_with(|| TokenBucket::new(now, most));
    spare.fill(now, per_s, most);
    match spare.take(1) {
      0 => Admission::Refused { retry_after_ms: RateLimits::<W>::SPARE_RETRY_MS },
      _ => Admission::Admitted,
    }
  }
}

#[allow(clippy::cast_precision_loss)]
fn ratio(part: usize, whole: usize) -> f64 {
  if whole == 0 { 1.0 } else { part as f64 / whole as f64 }
}
