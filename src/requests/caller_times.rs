use super::*;

/// How long the callers of each route usually wait, so that one that comes back is known: it has less
/// time left than callers of its route have at first, for it spent the rest on earlier tries.
#[derive(Clone, Debug, Default)]
pub struct CallerTimes {
  routes: BTreeMap<RouteName, Vec<SeenTime>>,
}

/// A time that callers gave.
#[derive(Clone, Copy, Debug)]
struct SeenTime {
  /// How often, less what other values took away.
  count: u32,
  left_ms: u64,
}

impl CallerTimes {
  /// Observations of a value before anything is concluded from it.
  const COUNT_MIN: u32 = 8;
  /// Values kept of each route. First tries give the same few values, later ones any value, so the
  /// frequent ones stay (the counting of Misra and Gries).
  const KEPT_MAX: usize = 8;
  /// A value this many times rarer than the usual one still counts as that of a first try.
  const RARER_MAX: u32 = 4;
  /// Observations after which all counts are halved, so that a change is noticed.
  const TOTAL_MAX: u32 = 256;

  /// A request came whose caller waits for `left_ms` from now. Returns the milliseconds since the
  /// caller's first try, as far as that shows.
  pub fn note(&mut self, route: &RouteName, left_ms: u64) -> u64 {
    if !self.routes.contains_key(route) {
      self.routes.insert(route.clone(), Vec::with_capacity(Self::KEPT_MAX));
    }
    let Some(seen) = self.routes.get_mut(route) else {
      return 0;
    };
    count(seen, left_ms);
    let most = seen.iter().map(|one| one.count).max().unwrap_or_default();
    if most < Self::COUNT_MIN {
      return 0;
    }
    // Where callers have several usual times, the one that leaves the least doubt.
    let usual = seen.iter().filter(|one| one.count * Self::RARER_MAX > most);
    let possible = usual.filter_map(|one| one.left_ms.checked_sub(left_ms));
    possible.min().unwrap_or_default()
  }

  /// Forgets routes that are gone.
  pub fn retain(&mut self, is_known: impl Fn(&RouteName) -> bool) {
    self.routes.retain(|route, _| is_known(route));
  }
}

fn count(seen: &mut Vec<SeenTime>, left_ms: u64) {
  if let Some(known) = seen.iter_mut().find(|one| one.left_ms == left_ms) {
    known.count += 1;
  } else if seen.len() < CallerTimes::KEPT_MAX {
    seen.push(SeenTime { count: 1, left_ms });
  } else {
    for one in seen.iter_mut() {
      one.count -= 1;
    }
    seen.retain(|one| one.count > 0);
  }
  let total: u32 = seen.iter().map(|one| one.count).sum();
  if total > CallerTimes::TOTAL_MAX {
    for one in seen {
      one.count = one.count.div_ceil(2);
    }
  }
}
