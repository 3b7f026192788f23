//! `ferryyoke check`.

use super::*;

/// Checks a settings file and prints a summary of it.
pub fn check(path: &Path) -> Result {
  let settings = Settings::load(path)?;
  println!(
    "the settings are good: box {} in {}, beside a backend server of {}",
    settings.box_id, settings.data_hall, settings.service
  );
  Ok(())
}
