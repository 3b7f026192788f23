//! Organisations: identifies a caller's organisation by its key and enforces fleet-wide rate limits.
//!
//! This module does no I/O. A rate limit applies to all daemons together. One daemon owns the token
//! ledger of an organisation; a hash over the present boxes selects it. The others draw tokens from
//! it: one per request under low demand, and a prefetch under high demand. A daemon that can't reach
//! the ledger spends an equal share of the limit.

use super::*;

use crate::configuration::{Configuration, RateLimit};

pub use self::{
  grant::Grant,
  key_fault::KeyFault,
  key_ring::{CallerOrganisation, KeyRing},
  ledger_owners::LedgerOwners,
  rate_limits::{Admission, ArrivalOutcome, DrawOutcome, RateLimits},
};

use self::{
  demand_meter::DemandMeter, ledger::Ledger, local_tokens::LocalTokens, token_bucket::TokenBucket,
};

/// Milliseconds for which a daemon may spend the tokens that it drew. The ledger gives out others meanwhile, so its
/// capacity is the burst less the tokens of this time.
const TOKEN_LIFETIME_MS: u64 = 200;

mod demand_meter;
mod grant;
mod key_fault;
mod key_ring;
mod ledger;
mod ledger_owners;
mod local_tokens;
mod rate_limits;
mod token_bucket;
