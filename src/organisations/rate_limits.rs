use super::*;

/// The rate limits of organisations at one daemon: the ledgers that it owns, and the tokens that it holds.
///
/// `W` is the handle that wakes a waiting request.
#[derive(Clone, Debug)]
pub struct RateLimits<W> {
  allotments: BTreeMap<OrganisationName, Allotment<W>>,
  keepers: Keepers,
  ledgers: BTreeMap<OrganisationName, Ledger>,
  /// The number of lost boxes. They may be partitioned and still spend tokens on their own.
  lost: usize,
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
pub struct Arrived {
  /// The request's admission, or `None` if it waits for the ledger.
  pub admission: Option<Admission>,
  /// The number of tokens to draw from the ledger now, or `None` if no draw is needed or one is in progress.
  pub draw: Option<u64>,
}

/// The result of a draw from the ledger.
#[derive(Clone, Debug)]
pub struct Woken<W> {
  /// The number of tokens to draw for requests that arrived meanwhile.
  pub draw: Option<u64>,
  /// Requests that no longer wait, with their admissions.
  pub settled: Vec<(W, Admission)>,
}

impl<W> RateLimits<W> {
  /// Milliseconds for which requests are refused without asking the ledger after it had too few tokens.
  const REFUSED_MS: u64 = 50;
  /// The retry delay in milliseconds of callers that are refused while the ledger is unreachable.
  const SPARE_RETRY_MS: u64 = 500;
  /// The capacity of the fallback bucket, in seconds of the daemon's share of the rate.
  const SPARE_S: f64 = 0.25;
  /// Milliseconds for which a ledger that did not answer isn't asked again.
  const UNREACHABLE_MS: u64 = 500;

  /// Records whether a box is present.
  pub fn note_box(&mut self, now: Time, box_id: &BoxId, is_there: bool) {
    self.keepers.note(now, box_id, is_there);
  }

  /// Sets the number of lost boxes, which may still spend tokens.
  pub fn set_lost(&mut self, lost: usize) {
    self.lost = lost;
  }

  /// Removes all boxes.
  pub fn forget_boxes(&mut self) {
    self.keepers = Keepers::default();
  }

  /// Removes organisations that no longer have a limit, except for tokens that requests wait for.
  pub fn retain(&mut self, is_limited: impl Fn(&OrganisationName) -> bool) {
    self.allotments.retain(|name, one| !one.waiting.is_empty() || is_limited(name));
    self.ledgers.retain(|name, _| is_limited(name));
  }

  /// Returns the box that owns an organisation's ledger.
  pub fn keeper(&self, organisation: &OrganisationName) -> Option<&BoxId> {
    self.keepers.keeper(organisation)
  }

  /// Handles the arrival of a request. `waiter` is stored if the request has to wait, and dropped otherwise.
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

  /// Handles the ledger's answer to a draw of `wanted` tokens; `grant` is `None` if no answer came.
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

  /// Draws tokens, for any daemon, from a ledger that this daemon owns.
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

  /// Returns the token of an admitted request that reached no backend server.
  pub fn give_back(&mut self, now: Time, organisation: &OrganisationName) {
    if let Some(allotment) = self.allotments.get_mut(organisation) {
      allotment.put(now, 1);
    }
  }

  /// The fraction of a limit that each daemon may spend while it can't reach the ledger.
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
  fn spend_spare(&mut self, now: Time, limit: RateLimit, share: f64) -> Admission {
    let per_s = limit.rate.requests_per_s() * share;
    // Holds no burst, as the ledger may have just given it out.
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
