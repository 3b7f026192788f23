//! Tests that settings are reloaded while a daemon runs.

mod support;

use {
  ferryyoke_bench::{Error, FleetBox, Result},
  std::fs,
  support::{fleet, pause_ms, run},
};

/// Waits until the log of a box contains `text` at least `times` times.
async fn wait_for_log(one: &FleetBox, text: &str, times: usize) -> Result {
  for _ in 0..600 {
    if one.log().matches(text).count() >= times {
      return Ok(());
    }
    pause_ms(20).await;
  }
  Err(Error::Unexpected(format!("the log does not contain `{text}` {times} times:\n{}", one.log())))
}

#[test]
fn settings_are_reloaded_on_a_signal_and_on_a_file_change() {
  run(async {
    let fleet = fleet().boxes(1).start()?;
    fleet.wait_until_ready().await?;
    let one = &fleet.boxes[0];
    one.signal("HUP")?;
    wait_for_log(one, "the settings were read again", 1).await?;

    let text = fs::read_to_string(one.settings_path())?;
    let changed = text.replace("\"stop_deadline_ms\":60000", "\"stop_deadline_ms\":7000");
    assert_ne!(text, changed);
    fs::write(one.settings_path(), &changed)?;
    wait_for_log(one, "the settings were read again", 2).await?;

    fs::write(one.settings_path(), "{ this is no JSON")?;
    wait_for_log(one, "the settings stay as they are", 1).await?;
    assert!(one.scrape().await.is_ok(), "the daemon keeps running");
    Ok(())
  });
}
