use super::*;

/// The rate limits of organisations at one daemon: the ledgers that it owns, and the tokens that it holds.
///
/// `W` is the handle that wakes a waiting request.
#[derive(Clone, Debug)]
pub struct RateLimits<W> {
  ledgers: BTreeMap<OrganisationName, Ledger>,
  /// The number of lost boxes. They may be partitioned and still spend tokens on their own.
  lost: usize,
  owners: LedgerOwners,
  tokens: BTreeMap<OrganisationName, LocalTokens<W>>,
}

/// Whether a request of an organisation is admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
  /// The request is within the limit.
  Admitted,
  /// The organisation exceeds its limit.
  Refused {
    /// The retry delay in milliseconds.
    retry_after_ms: u64,
  },
}

/// The result of a request's arrival.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ArrivalOutcome {
  /// The request's admission, or `None` if it waits for the ledger.
  pub admission: Option<Admission>,
  /// The number of tokens to draw from the ledger now, or `None` if no draw is needed or one is in progress.
  pub draw: Option<u64>,
}

/// The result of a draw from the ledger.
#[derive(Clone, Debug)]
pub struct DrawOutcome<W> {
  /// The number of tokens to draw for requests that arrived meanwhile.
  pub draw: Option<u64>,
  /// Requests that no longer wait, with their admissions.
  pub settled: Vec<(W, Admission)>,
}

impl<W> RateLimits<W> {
  /// Milliseconds for which requests are refused without asking the ledger after it had too few tokens.
  const REFUSED_MS: u64 = 50;
  /// The retry delay in milliseconds of callers that are refused while the ledger is unreachable.
  const FALLBACK_RETRY_MS: u64 = 500;
  /// The capacity of the fallback bucket, in seconds of the daemon's share of the rate.
  const FALLBACK_CAPACITY_S: f64 = 0.25;
  /// Milliseconds for which a ledger that did not answer isn't asked again.
  const UNREACHABLE_MS: u64 = 500;

  /// Records whether a box is present.
  pub fn set_box(&mut self, now: Time, box_id: &BoxId, is_present: bool) {
    self.owners.set_box(now, box_id, is_present);
  }

  /// Sets the number of lost boxes, which may still spend tokens.
  pub fn set_lost_boxes(&mut self, lost: usize) {
    self.lost = lost;
  }

  /// Removes all boxes.
  pub fn forget_boxes(&mut self) {
    self.owners = LedgerOwners::default();
  }

  /// Removes organisations that no longer have a limit, except for tokens that requests wait for.
  pub fn retain(&mut self, is_limited: impl Fn(&OrganisationName) -> bool) {
    self.tokens.retain(|name, one| !one.waiting.is_empty() || is_limited(name));
    self.ledgers.retain(|name, _| is_limited(name));
  }

  /// Returns the box that owns an organisation's ledger.
  pub fn ledger_owner(&self, organisation: &OrganisationName) -> Option<&BoxId> {
    self.owners.owner(organisation)
  }

  /// Handles the arrival of a request. `waiter` is stored if the request has to wait, and dropped otherwise.
  pub fn arrive(
    &mut self,
    now: Time,
    organisation: &OrganisationName,
    limit: RateLimit,
    waiter: W,
  ) -> ArrivalOutcome {
    let equal_share = self.equal_share();
    let local = self.tokens.entry(organisation.clone()).or_default();
    local.demand.record(now, 1);
    if local.take(now) {
      return ArrivalOutcome { admission: Some(Admission::Admitted), draw: local.draw(now) };
    }
    if let Some((until, retry_after_ms)) = local.refused
      && now < until
    {
      return ArrivalOutcome { admission: Some(Admission::Refused { retry_after_ms }), draw: None };
    }
    if now < local.unreachable_until {
      let admission = local.spend_fallback(now, limit, equal_share);
      return ArrivalOutcome { admission: Some(admission), draw: None };
    }
    local.waiting.push_back(waiter);
    ArrivalOutcome { admission: None, draw: local.draw(now) }
  }

  /// Handles the ledger's answer to a draw of `wanted` tokens; `grant` is `None` if no answer came.
  pub fn draw_completed(
    &mut self,
    now: Time,
    organisation: &OrganisationName,
    limit: RateLimit,
    wanted: u64,
    grant: Option<Grant>,
  ) -> DrawOutcome<W> {
    let equal_share = self.equal_share();
    let local = self.tokens.entry(organisation.clone()).or_default();
    local.is_drawing = false;
    let mut settled = Vec::new();
    let Some(grant) = grant else {
      local.unreachable_until = now.after(Self::UNREACHABLE_MS);
      while let Some(waiter) = local.waiting.pop_front() {
        settled.push((waiter, local.spend_fallback(now, limit, equal_share)));
      }
      return DrawOutcome { draw: None, settled };
    };
    local.put(now, grant.tokens);
    while !local.waiting.is_empty() && local.take(now) {
      settled.extend(local.waiting.pop_front().map(|waiter| (waiter, Admission::Admitted)));
    }
    if grant.tokens < wanted && !local.waiting.is_empty() {
      let retry_after_ms = grant.retry_after_ms;
      local.refused = Some((now.after(Self::REFUSED_MS), retry_after_ms));
      let refused = local.waiting.drain(..);
      settled.extend(refused.map(|waiter| (waiter, Admission::Refused { retry_after_ms })));
    }
    let draw = if local.waiting.is_empty() { None } else { local.draw(now) };
    DrawOutcome { draw, settled }
  }

  /// Draws tokens, for any daemon, from a ledger that this daemon owns.
  pub fn draw(
    &mut self,
    now: Time,
    organisation: &OrganisationName,
    limit: RateLimit,
    wanted: u64,
  ) -> Grant {
    let alone_ms = now.since_ms(self.owners.changed_at());
    let present = self.owners.count();
    let share = ratio(present, present + self.lost);
    let ledger = self.ledgers.entry(organisation.clone());
    let ledger = ledger.or_insert_with(|| Ledger::new(now, limit, alone_ms));
    ledger.draw(now, limit, share, wanted)
  }

  /// Returns the token of a request that was admitted at `admitted_at` and reached no backend server.
  /// A token that the request held for longer than its lifetime is void: the ledger has given out a
  /// new one for it, and both would be spent within one window.
  pub fn return_token(&mut self, now: Time, organisation: &OrganisationName, admitted_at: Time) {
    let Some(local) = self.tokens.get_mut(organisation) else {
      return;
    };
    if now.since_ms(admitted_at) < TOKEN_LIFETIME_MS {
      local.give_back(now);
    }
  }

  /// The fraction of a limit that each daemon may spend while it can't reach the ledger.
  fn equal_share(&self) -> f64 {
    ratio(1, (self.owners.count() + self.lost).max(1))
  }
}

impl<W> Default for RateLimits<W> {
  fn default() -> Self {
    Self {
      ledgers: BTreeMap::new(),
      lost: 0,
      owners: LedgerOwners::default(),
      tokens: BTreeMap::new(),
    }
  }
}

impl<W> LocalTokens<W> {
  /// Starts a draw if one is due. Returns the number of tokens to draw.
  fn draw(&mut self, now: Time) -> Option<u64> {
    let wanted = self.wanted(now);
    if self.is_drawing || wanted == 0 || now < self.unreachable_until {
      return None;
    }
    self.is_drawing = true;
    Some(wanted)
  }

  /// Decides from the fallback bucket. The first request is admitted, so that a small organisation is served.
  fn spend_fallback(&mut self, now: Time, limit: RateLimit, share: f64) -> Admission {
    let per_s = limit.rate.requests_per_s() * share;
    // Holds no burst, as the ledger may have just given it out.
    let most = (per_s * RateLimits::<W>::FALLBACK_CAPACITY_S).max(1.0);
    let fallback = self.fallback.get_or_insert_with(|| TokenBucket::new(now, most));
    fallback.fill(now, per_s, most);
    match fallback.take(1) {
      0 => Admission::Refused { retry_after_ms: RateLimits::<W>::FALLBACK_RETRY_MS },
      _ => Admission::Admitted,
    }
  }
}

#[allow(clippy::cast_precision_loss)]
fn ratio(part: usize, whole: usize) -> f64 {
  if whole == 0 { 1.0 } else { part as f64 / whole as f64 }
}
