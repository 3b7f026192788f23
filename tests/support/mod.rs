//! Shared test support, including a simulated world of state machines and the oracle that checks
//! it.

#![allow(dead_code)]

pub mod box_links;
pub mod cached_source;
pub mod call_world;
pub mod command;
pub mod endpoints;
pub mod followers;
pub mod operator_routes;
pub mod oracle;
pub mod plain_source;
pub mod rollout_world;
pub mod room_world;
pub mod scripted_store;
pub mod world;

use arbtest::{arbitrary::Unstructured, arbtest};

/// The number of random bytes per history.
const HISTORY_BYTES: u64 = 4_096;

/// Runs `property` on `count` random histories with fixed seeds.
pub fn histories(
  count: u64,
  mut property: impl FnMut(&mut Unstructured) -> arbtest::arbitrary::Result<()>,
) {
  for seed in 1..=count {
    arbtest(&mut property).seed(seed << 32 | HISTORY_BYTES).run();
  }
}
