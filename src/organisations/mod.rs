//! Organisations: which of them a caller belongs to, by its key, and how much each may ask of the whole fleet.
//!
//! All of it is pure. A rate limit counts over all daemons together, so one daemon keeps the ledger of each
//! organisation, found by a hash over the boxes that are there. The others draw tokens from it: one for a request
//! where few come, some ahead where many do. A daemon that cannot reach the ledger spends an equal share of the limit.

use super::*;

use crate::configuration::{Configuration, RateLimit};

pub use self::{
  grant::Grant,
  keepers::Keepers,
  key_fault::KeyFault,
  key_ring::{KeyRing, Member},
  rate_limits::{Admission, Arrived, RateLimits, Woken},
};

use self::{
  allotment::Allotment, demand_meter::DemandMeter, ledger::Ledger, token_bucket::TokenBucket,
};

/// Milliseconds for which a daemon may spend what it drew from a ledger. Meanwhile the ledger gives out others, so it
/// holds so much less than the whole burst.
const TOKENS_KEPT_MS: u64 = 200;

mod allotment;
mod demand_meter;
mod grant;
mod keepers;
mod key_fault;
mod key_ring;
mod ledger;
mod rate_limits;
mod token_bucket;
