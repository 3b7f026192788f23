use super::*;

/// The metrics of one daemon, read at one time.
#[derive(Clone, Debug, Default)]
pub struct Scrape {
  values: BTreeMap<String, f64>,
}

impl Scrape {
  /// Parses metrics in the Prometheus text format. Lines that do not parse are skipped.
  pub fn parse(text: &str) -> Self {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let pairs = lines.filter_map(|line| {
      let (name, value) = line.rsplit_once(' ')?;
      Some((name.to_string(), value.parse().ok()?))
    });
    Self { values: pairs.collect() }
  }

  /// Sums all metrics whose name, with its labels, starts with `prefix`.
  pub fn sum(&self, prefix: &str) -> f64 {
    self.values.iter().filter(|(name, _)| name.starts_with(prefix)).map(|(_, value)| value).sum()
  }

  /// Returns the version of the configuration in force.
  #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
  pub fn version(&self) -> Version {
    Version(self.sum("ferryyoke_configuration_version") as u64)
  }

  /// Returns the number of backend servers that the daemon sees as live.
  #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
  pub fn live_endpoints(&self) -> usize {
    self.sum("ferryyoke_live_endpoints") as usize
  }

  /// Returns when the version in force was applied, in Unix milliseconds.
  #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
  pub fn applied_unix_ms(&self) -> u64 {
    self.sum("ferryyoke_configuration_applied_unix_ms") as u64
  }
}
