use super::*;

/// Lets through so many equal lines a second and counts the rest.
#[derive(Clone, Debug, Default)]
pub struct Quota {
  /// Lines let through and held back in the current second, by text.
  seen: BTreeMap<String, (u32, u32)>,
  /// The current second.
  second: u64,
}

impl Quota {
  /// Equal lines let through in one second.
  pub const LINES_MAX: u32 = 20;
  /// Lines about single requests let through in one second, of each kind.
  pub const REQUESTS_MAX: u32 = 200;
  /// Different lines told apart in one second; more are let through uncounted.
  const TEXTS_MAX: usize = 1_000;

  /// Whether a line may pass at that second, of which `lines_max` may, and the lines held back in the last one.
  pub fn admit(&mut self, second: u64, text: &str, lines_max: u32) -> (bool, Vec<(String, u32)>) {
    let mut held_back = Vec::new();
    if second != self.second {
      self.second = second;
      let ended = std::mem::take(&mut self.seen);
      held_back.extend(
        ended.into_iter().filter(|(_, (_, held))| *held > 0).map(|(text, (_, held))| (text, held)),
      );
    }
    if self.seen.len() >= Self::TEXTS_MAX && !self.seen.contains_key(text) {
      return (true, held_back);
    }
    let (passed, held) = self.seen.entry(text.into()).or_default();
    let admitted = *passed < lines_max;
    *if admitted { passed } else { held } += 1;
    (admitted, held_back)
  }
}
