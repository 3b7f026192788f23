//! Helpers shared by the tests that run real processes.

#![allow(dead_code)]

use ferryyoke_bench::{Fleet, FleetBox, FleetBuilder, Result};

/// Returns a builder of a fleet whose daemons run the code under test.
pub fn fleet() -> FleetBuilder {
  FleetBuilder::new(env!("CARGO_BIN_EXE_ferryyoke-bench"))
}

/// Runs an async test to completion; panics if it fails.
pub fn run<F: Future<Output = Result>>(test: F) {
  ferryyoke::commands::block_on(test).expect("the event loop starts").expect("the test passes");
}

/// Sleeps for `pause_ms` milliseconds.
pub async fn pause_ms(pause_ms: u64) {
  monoio::time::sleep(std::time::Duration::from_millis(pause_ms)).await;
}

/// Returns a field of the `status` statement of a daemon; null if it is absent.
pub async fn status(one: &FleetBox, field: &str) -> Result<serde_json::Value> {
  let answer = one.run_statements("status").await?;
  let row = answer.table.rows.iter().find(|row| row[0].as_str() == Some(field));
  Ok(row.map(|row| row[1].clone()).unwrap_or_default())
}

/// Returns the index of the first box that holds a relay slot.
pub async fn a_relay(fleet: &Fleet) -> Result<usize> {
  for (index, one) in fleet.boxes.iter().enumerate() {
    if !status(one, "slot").await?.is_null() {
      return Ok(index);
    }
  }
  panic!("no box is a relay");
}

/// Returns the index of the first box that holds no relay slot.
pub async fn a_subscriber(fleet: &Fleet) -> Result<usize> {
  for (index, one) in fleet.boxes.iter().enumerate() {
    if status(one, "slot").await?.is_null() {
      return Ok(index);
    }
  }
  panic!("every box is a relay");
}
