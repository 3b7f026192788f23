use super::*;

/// Learns the usual timeouts of each route's callers, to recognise requests that are retries.
///
/// A retry has less time left, because its caller spent part of it on earlier attempts.
#[derive(Clone, Debug, Default)]
pub struct CallerTimeouts {
  routes: BTreeMap<RouteName, Vec<SeenTime>>,
}

/// A remaining time that callers sent.
#[derive(Clone, Copy, Debug)]
struct SeenTime {
  /// Observations, less the decrements caused by other values.
  count: u32,
  left_ms: u64,
}

impl CallerTimeouts {
  /// Observations needed before a value is taken as a usual timeout.
  const COUNT_MIN: u32 = 8;
  /// Values stored for each route. First attempts have the same few values and retries any value,
  /// so the frequent ones are kept (Misra-Gries algorithm).
  const VALUES_MAX: usize = 8;
  /// How many times rarer than the most frequent value a usual timeout may be.
  const RARER_MAX: u32 = 4;
  /// Total of the counts above which all are halved, so that changes of timeouts are followed.
  const TOTAL_MAX: u32 = 256;

  /// Records a request whose caller waits for another `left_ms`. Returns the estimated milliseconds
  /// since the caller's first attempt; 0 where unknown.
  pub fn note(&mut self, route: &RouteName, left_ms: u64) -> u64 {
    if !self.routes.contains_key(route) {
      self.routes.insert(route.clone(), Vec::with_capacity(Self::VALUES_MAX));
    }
    let Some(seen) = self.routes.get_mut(route) else {
      return 0;
    };
    count(seen, left_ms);
    let most = seen.iter().map(|one| one.count).max().unwrap_or_default();
    if most < Self::COUNT_MIN {
      return 0;
    }
    // Of several usual timeouts, the one that implies the shortest time since the first attempt.
    let usual = seen.iter().filter(|one| one.count * Self::RARER_MAX > most);
    let possible = usual.filter_map(|one| one.left_ms.checked_sub(left_ms));
    possible.min().unwrap_or_default()
  }

  /// Drops routes that no longer exist.
  pub fn retain(&mut self, is_known: impl Fn(&RouteName) -> bool) {
    self.routes.retain(|route, _| is_known(route));
  }
}

fn count(seen: &mut Vec<SeenTime>, left_ms: u64) {
  if let Some(known) = seen.iter_mut().find(|one| one.left_ms == left_ms) {
    known.count += 1;
  } else if seen.len() < CallerTimeouts::VALUES_MAX {
    seen.push(SeenTime { count: 1, left_ms });
  } else {
    for one in seen.iter_mut() {
      one.count -= 1;
    }
    seen.retain(|one| one.count > 0);
  }
  let total: u32 = seen.iter().map(|one| one.count).sum();
  if total > CallerTimeouts::TOTAL_MAX {
    for one in seen {
      one.count = one.count.div_ceil(2);
    }
  }
}
