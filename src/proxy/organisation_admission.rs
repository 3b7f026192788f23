//! Identifies the organisation of a caller and applies its rate limit.

use super::*;

use super::egress::invalid_seal;

/// Timeout in milliseconds of a draw from the owner of a ledger. It allows many round trips between
/// regions and is a small part of a request's timeout.
const DRAW_TIMEOUT_MS: u64 = 200;

/// Returns the organisation whose key the request carries, or `None` if the request needs no key.
pub(super) fn identify(
  shared: &Shared,
  matched: &RouteMatch,
  headers: &HeaderMap,
) -> std::result::Result<Option<Rc<CallerOrganisation>>, Refusal> {
  let keys = shared.key_ring();
  if !keys.is_needed() {
    return Ok(None);
  }
  if !matched.handling.public && shared.may_miss_revocation() {
    let reason = "this box cannot tell which keys were taken away";
    let retry_after_ms = Shared::RETRY_AFTER_MS;
    return Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, retry_after_ms));
  }
  match keys.identify(headers.get(http::header::AUTHORIZATION)) {
    Ok(member) => Ok(Some(member)),
    Err(_) if matched.handling.public => Ok(None),
    Err(fault) => Err(invalid_key(shared, fault)),
  }
}

/// Refuses a request without a valid key. If a newer version may contain the key, the caller is not
/// at fault and is asked to retry.
fn invalid_key(shared: &Shared, fault: KeyFault) -> Refusal {
  match shared.newer_version() {
    Some(newer) if fault == KeyFault::Unknown => {
      let reason = format!("{fault}, and version {newer} is not in force here yet");
      Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, ingress::NEWER_VERSION_RETRY_MS)
    }
    _ => Refusal::permanent(StatusCode::UNAUTHORIZED, fault.to_string()),
  }
}

/// A request that its organisation's rate limit admitted. Returns its token when dropped, unless a
/// backend server may have received the request.
pub(super) struct AdmittedRequest {
  /// When the rate limit admitted it.
  admitted_at: Time,
  organisation: Option<OrganisationName>,
  shared: Rc<Shared>,
}

impl AdmittedRequest {
  /// Waits until the rate limit admits the request, or refuses it.
  pub async fn admit(
    shared: &Rc<Shared>,
    member: Option<&CallerOrganisation>,
  ) -> std::result::Result<Self, Refusal> {
    let limited = member.and_then(|member| Some((&member.organisation, member.rate_limit?)));
    let admitted_at = shared.now().time;
    let mut admitted = Self { admitted_at, organisation: None, shared: shared.clone() };
    let Some((organisation, limit)) = limited else {
      return Ok(admitted);
    };
    match decide(shared, organisation, limit).await {
      Admission::Admitted => {
        admitted.admitted_at = shared.now().time;
        admitted.organisation = Some(organisation.clone());
        Ok(admitted)
      }
      Admission::Refused { retry_after_ms } => {
        shared.metrics.requests_over_limit.inc();
        let reason = format!("{organisation} asks for more than {limit}");
        Err(Refusal::not_run(StatusCode::TOO_MANY_REQUESTS, reason, retry_after_ms))
      }
    }
  }

  /// Spends the token, as a backend server may have received the request.
  pub fn spend_token(mut self) {
    self.organisation = None;
  }
}

impl Drop for AdmittedRequest {
  fn drop(&mut self) {
    if let Some(organisation) = self.organisation.take() {
      let now = self.shared.now().time;
      self.shared.rate_limits.borrow_mut().return_token(now, &organisation, self.admitted_at);
    }
  }
}

async fn decide(
  shared: &Rc<Shared>,
  organisation: &OrganisationName,
  limit: RateLimit,
) -> Admission {
  let (wake, woken) = futures_channel::oneshot::channel();
  let now = shared.now().time;
  let arrived = shared.rate_limits.borrow_mut().arrive(now, organisation, limit, wake);
  if let Some(wanted) = arrived.draw {
    monoio::spawn(draw(shared.clone(), organisation.clone(), limit, wanted));
  }
  match arrived.admission {
    Some(admission) => admission,
    None => woken.await.unwrap_or(Admission::Refused { retry_after_ms: Shared::RETRY_AFTER_MS }),
  }
}

/// Draws tokens and wakes the requests that wait for them.
async fn draw(
  shared: Rc<Shared>,
  organisation: OrganisationName,
  limit: RateLimit,
  mut wanted: u64,
) {
  loop {
    let grant = draw_once(&shared, &organisation, limit, wanted).await;
    let now = shared.now().time;
    let woken =
      shared.rate_limits.borrow_mut().draw_completed(now, &organisation, limit, wanted, grant);
    debug!(
      shared.log.logger, #Log::REQUEST, "tokens were drawn";
      "organisation" => %organisation, "wanted" => wanted,
      "granted" => grant.map_or("no answer".into(), |grant| grant.tokens.to_string()),
      "settled" => woken.settled.len()
    );
    for (waiter, admission) in woken.settled {
      waiter.send(admission).ok();
    }
    match woken.draw {
      Some(more) => wanted = more,
      None => return,
    }
  }
}

/// Draws tokens once. Returns `None` if the owner of the ledger does not answer.
async fn draw_once(
  shared: &Rc<Shared>,
  organisation: &OrganisationName,
  limit: RateLimit,
  wanted: u64,
) -> Option<Grant> {
  let owner = shared.rate_limits.borrow().ledger_owner(organisation).cloned();
  let own_box = &shared.settings.box_id;
  let Some(owner) = owner.filter(|owner| owner != own_box) else {
    let now = shared.now().time;
    return Some(shared.rate_limits.borrow_mut().draw(now, organisation, limit, wanted));
  };
  let address = shared.forward_address(&owner)?;
  let limit = Duration::from_millis(DRAW_TIMEOUT_MS);
  timer::timeout(limit, ask(shared, address, organisation, wanted)).await.ok()?
}

/// Text that a daemon seals with the fleet key when it draws tokens.
fn sealed_text(organisation: &OrganisationName, wanted: u64) -> String {
  format!("draw {} {wanted}", organisation.encoded())
}

async fn ask(
  shared: &Rc<Shared>,
  address: SocketAddr,
  organisation: &OrganisationName,
  wanted: u64,
) -> Option<Grant> {
  let client = shared.peer_pool.checkout_within(address, DRAW_TIMEOUT_MS).await.ok()?;
  let mut request = Request::new(web::empty());
  let headers = request.headers_mut();
  headers::set(headers, headers::DRAW, wanted);
  headers::set(headers, "host", address);
  headers::set_name(headers, headers::ORGANISATION, organisation);
  headers::set(headers, headers::SEAL, shared.seal(&sealed_text(organisation, wanted)));
  let response = shared.peer_pool.send(client, request, None).await.ok()?;
  let (head, body) = response.into_parts();
  // The body is read to its end so that the next draw can reuse the connection.
  web::collect(body, ANSWER_BYTES_MAX).await.ok()?;
  let tokens = headers::parsed(&head.headers, headers::DRAW)?;
  let retry_after_ms = headers::parsed(&head.headers, headers::RETRY_AFTER_MS)?;
  Some(Grant { retry_after_ms, tokens })
}

/// Largest body of an answer to a draw, in bytes.
const ANSWER_BYTES_MAX: usize = 1_024;

/// Grants tokens to another daemon from a ledger that this daemon owns.
pub(super) fn answer(shared: &Shared, asked: &HeaderMap) -> Response<AnyBody> {
  let wanted = headers::parsed::<u64>(asked, headers::DRAW);
  let organisation = headers::name::<OrganisationName>(asked, headers::ORGANISATION);
  let seal = headers::parsed::<Digest>(asked, headers::SEAL);
  let (Some(wanted), Some(organisation), Some(seal)) = (wanted, organisation, seal) else {
    return web::text(StatusCode::BAD_REQUEST, "a draw lacks a header");
  };
  if !shared.is_sealed(&sealed_text(&organisation, wanted), &seal) {
    return invalid_seal(shared).response(&shared.names.request_id(), false);
  }
  let Some(limit) = shared.rate_limit(&organisation) else {
    let reason = format!("no rate limit of {organisation} is in force here");
    return web::text(StatusCode::NOT_FOUND, reason);
  };
  let now = shared.now().time;
  let grant = shared.rate_limits.borrow_mut().draw(now, &organisation, limit, wanted);
  let mut response = web::text(StatusCode::OK, "");
  headers::set(response.headers_mut(), headers::DRAW, grant.tokens);
  headers::set(response.headers_mut(), headers::RETRY_AFTER_MS, grant.retry_after_ms);
  response
}
