use super::*;

/// Limits equal log lines in a second, and counts those it suppresses.
#[derive(Clone, Debug, Default)]
pub struct Quota {
  /// Numbers of admitted and suppressed lines in the current second, by text.
  seen: BTreeMap<String, (u32, u32)>,
  /// The current second, since 1970.
  second: u64,
}

impl Quota {
  /// Equal lines admitted in one second.
  pub const LINES_MAX: u32 = 20;
  /// Equal lines about single requests admitted in one second.
  pub const REQUESTS_MAX: u32 = 200;
  /// Different texts counted in one second. Lines with further texts are admitted without a count.
  const TEXTS_MAX: usize = 1_000;

  /// Returns whether a line is admitted in that second, where at most `lines_max` equal ones are, and the lines
  /// that were suppressed in the second before it, with their numbers.
  pub fn admit(&mut self, second: u64, text: &str, lines_max: u32) -> (bool, Vec<(String, u32)>) {
    let mut suppressed = Vec::new();
    if second != self.second {
      self.second = second;
      let ended = std::mem::take(&mut self.seen);
      suppressed.extend(
        ended
          .into_iter()
          .filter(|(_, (_, count))| *count > 0)
          .map(|(text, (_, count))| (text, count)),
      );
    }
    if self.seen.len() >= Self::TEXTS_MAX && !self.seen.contains_key(text) {
      return (true, suppressed);
    }
    let (passed, suppressed_count) = self.seen.entry(text.into()).or_default();
    let admitted = *passed < lines_max;
    *if admitted { passed } else { suppressed_count } += 1;
    (admitted, suppressed)
  }
}
