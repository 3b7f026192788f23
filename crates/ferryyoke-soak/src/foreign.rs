use super::*;

/// Invalid data that foreign writers put into the platform's store or report in the name of backend
/// servers.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Foreign {
  /// An invalid item replaces the configuration until the operators restore theirs.
  Configuration {
    /// Index into [`platform::foreign_items`].
    form: usize,
    /// Milliseconds until the operators restore the configuration.
    for_ms: Ms,
  },
  /// An invalid item replaces a box's entry, or takes the entry of a box that doesn't exist.
  Entry {
    /// Index into [`platform::foreign_items`].
    form: usize,
    /// The box.
    index: usize,
  },
  /// Invalid reports are sent to the daemon of a box.
  Report {
    /// The box.
    index: usize,
  },
}

impl Foreign {
  /// Returns a random one for a fleet of `boxes` boxes.
  pub fn random(rng: &mut ChaCha8Rng, boxes: usize) -> Self {
    let form = rng.random_range(0..platform::foreign_items().len());
    match rng.random_range(0..3) {
      0 => Self::Configuration { form, for_ms: rng.random_range(10..1_500) },
      1 => Self::Entry { form, index: rng.random_range(0..=boxes) },
      _ => Self::Report { index: rng.random_range(0..boxes) },
    }
  }
}
