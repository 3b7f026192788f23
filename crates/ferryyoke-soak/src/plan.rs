use super::*;

/// When each fault of a run begins. The same seed gives the same plan.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Plan {
  /// Milliseconds that the run takes, from the first caller to the last.
  pub length_ms: Ms,
  /// The faults, by their beginning.
  pub steps: Vec<Step>,
}

/// A fault and when it begins.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Step {
  /// Milliseconds from the start of the run.
  pub at_ms: Ms,
  /// What happens.
  pub fault: Fault,
}

/// What goes wrong, or is done as planned, from outside the daemons. `index` names a box, and `for_ms`
/// tells how long it lasts.
#[allow(missing_docs)]
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
  /// The process of a backend server ends without a word, and starts again under its id.
  Crash { index: usize, down_ms: Ms },
  /// Connections from other daemons to a box carry nothing, in one direction or both.
  Cut { index: usize, for_ms: Ms, one_way: bool },
  /// Connections from other daemons to a box are slow.
  Delay { index: usize, for_ms: Ms, delay_ms: Ms },
  /// A backend server drains and another process takes its place, under its id or another one.
  Drain { index: usize, keeps_id: bool },
  /// A request that ends the process which runs it, so many milliseconds after it began, is sent anew at all boxes.
  EndsServers { crash_ms: Ms, for_ms: Ms, kind: Kind, pause_ms: Ms },
  /// Another writer puts something into the store, or reports in the name of a backend server.
  Foreign(Foreign),
  /// A daemon stands still.
  Freeze { index: usize, for_ms: Ms },
  /// Daemons are killed at once and started again.
  Kill { indexes: Vec<usize>, down_ms: Ms },
  /// Connections from other daemons to a box are reset.
  Reset { index: usize },
  /// A daemon reads its settings again.
  Reload { index: usize },
  /// The operators add a route.
  Change,
  /// Open connections from other daemons to some boxes go silent for good, while new ones are well.
  Sever { indexes: Vec<usize> },
  /// Daemons are stopped as planned, one after the other, and started again.
  Stop { indexes: Vec<usize>, gap_ms: Ms },
  /// The store serves nobody; leases run out meanwhile, or wait.
  StoreDown { for_ms: Ms, lapse: bool },
  /// The store is away for a moment and comes back from a copy of that age, and what the operators wrote since is
  /// written again a while later.
  StoreGoesBack { age_ms: Ms, away_ms: Ms, rewritten_ms: Ms },
  /// The store forgets its history.
  StoreForgets,
  /// The store loses answers to writes, which it carries out at once or later.
  StoreLoses { late_ms: Ms, writes: u32 },
  /// Open connections of some boxes to the store go silent for good, while new ones are well.
  StoreSevers { indexes: Vec<usize> },
  /// The store answers late.
  StoreSlow { for_ms: Ms, delay_ms: Ms },
  /// The store does not serve some boxes.
  StoreTurnsAway { indexes: Vec<usize>, for_ms: Ms },
}

impl Plan {
  /// Milliseconds between two faults, at most: they come in series and overlap.
  const GAP_MAX_MS: Ms = 1_600;
  /// Milliseconds between two starts of processes under their id or words of other writers, at most.
  const REBIRTH_GAP_MAX_MS: Ms = 3_000;
  /// Milliseconds between two requests that end backend servers, at most.
  const ENDING_GAP_MAX_MS: Ms = 9_000;
  /// Milliseconds between two times at which connections go silent, at most.
  const SEVERANCE_GAP_MAX_MS: Ms = 6_000;
  /// Milliseconds between two times at which the store goes back, at most: often twice in a row.
  const GOING_BACK_GAP_MAX_MS: Ms = 9_000;
  /// Milliseconds without new faults at the start, in which the fleet finds itself.
  const QUIET_START_MS: Ms = 1_000;
  /// Milliseconds without new faults at the end, after which everything must work again.
  pub const QUIET_END_MS: Ms = 9_000;

  /// The plan of a seed for a fleet of so many boxes.
  pub fn of(seed: u64, boxes: usize, length_ms: Ms) -> Self {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at_ms = Self::QUIET_START_MS;
    while at_ms + Self::QUIET_END_MS < length_ms {
      steps.push(Step { at_ms, fault: Fault::random(&mut rng, boxes) });
      at_ms += rng.random_range(50..Self::GAP_MAX_MS);
    }
    steps.extend(Self::severances(seed, boxes, length_ms));
    steps.extend(Self::rebirths(seed, boxes, length_ms));
    steps.extend(Self::endings(seed, length_ms));
    steps.extend(Self::goings_back(seed, length_ms));
    steps.sort_by_key(|step| step.at_ms);
    Self { length_ms, steps }
  }

  /// Silent connections, drawn apart: the other faults of a seed stay what they were without these.
  fn severances(seed: u64, boxes: usize, length_ms: Ms) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(32));
    let mut steps = Vec::new();
    let mut at_ms = Self::QUIET_START_MS;
    loop {
      at_ms += rng.random_range(500..Self::SEVERANCE_GAP_MAX_MS);
      if at_ms + Self::QUIET_END_MS >= length_ms {
        return steps;
      }
      let indexes = Fault::some(&mut rng, boxes, boxes);
      let is_of_store = rng.random();
      let fault =
        if is_of_store { Fault::StoreSevers { indexes } } else { Fault::Sever { indexes } };
      steps.push(Step { at_ms, fault });
    }
  }

  /// A store that comes back from a copy, whatever else happens. Drawn apart as well.
  fn goings_back(seed: u64, length_ms: Ms) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(56));
    let mut steps = Vec::new();
    let mut at_ms = Self::QUIET_START_MS;
    loop {
      at_ms += rng.random_range(500..Self::GOING_BACK_GAP_MAX_MS);
      if at_ms + Self::QUIET_END_MS >= length_ms {
        return steps;
      }
      let fault = Fault::StoreGoesBack {
        age_ms: rng.random_range(100..10_000),
        away_ms: rng.random_range(0..2_000),
        rewritten_ms: rng.random_range(0..1_000),
      };
      steps.push(Step { at_ms, fault });
    }
  }

  /// Requests that end backend servers, several of them at once at times. Drawn apart as well.
  fn endings(seed: u64, length_ms: Ms) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(48));
    let mut steps = Vec::new();
    let mut at_ms = Self::QUIET_START_MS;
    loop {
      at_ms += rng.random_range(1_000..Self::ENDING_GAP_MAX_MS);
      if at_ms + Self::QUIET_END_MS >= length_ms {
        return steps;
      }
      let fault = Fault::EndsServers {
        crash_ms: rng.random_range(0..150),
        for_ms: rng.random_range(1_000..10_000).min(length_ms - Self::QUIET_END_MS - at_ms),
        kind: *Kind::ALL.choose(&mut rng).expect("there are kinds"),
        pause_ms: rng.random_range(20..200),
      };
      steps.push(Step { at_ms, fault });
    }
  }

  /// Backend servers that start again under their id, also while their daemon stands still, is restarted or cut
  /// off, and other writers. Drawn apart as well.
  fn rebirths(seed: u64, boxes: usize, length_ms: Ms) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(16));
    let mut steps = Vec::new();
    let mut at_ms = Self::QUIET_START_MS;
    loop {
      at_ms += rng.random_range(200..Self::REBIRTH_GAP_MAX_MS);
      if at_ms + Self::QUIET_END_MS >= length_ms {
        return steps;
      }
      let index = rng.random_range(0..boxes);
      let (down_ms, for_ms) = (rng.random_range(100..5_000), rng.random_range(100..2_000));
      let with = match rng.random_range(0..6) {
        0 => Some(Fault::Freeze { index, for_ms }),
        1 => Some(Fault::Kill { indexes: vec![index], down_ms: for_ms / 2 }),
        2 => Some(Fault::Cut { index, for_ms, one_way: false }),
        _ => None,
      };
      let fault = match rng.random_range(0..5) {
        0 | 1 => Fault::Crash { index, down_ms },
        2 => Fault::Drain { index, keeps_id: true },
        _ => Fault::Foreign(Foreign::random(&mut rng, boxes)),
      };
      let is_rebirth = !matches!(fault, Fault::Foreign(_));
      steps.extend(with.filter(|_| is_rebirth).map(|fault| Step { at_ms, fault }));
      steps.push(Step { at_ms, fault });
    }
  }
}

impl Fault {
  fn random(rng: &mut ChaCha8Rng, boxes: usize) -> Self {
    let index = rng.random_range(0..boxes);
    let for_ms = rng.random_range(300..5_000);
    let delay_ms = rng.random_range(20..400);
    let some = |rng: &mut ChaCha8Rng, most: usize| Self::some(rng, boxes, most);
    match rng.random_range(0..18) {
      0 => Self::Cut { index, for_ms, one_way: rng.random() },
      1 => Self::Delay { index, for_ms, delay_ms },
      2 | 3 => Self::Drain { index, keeps_id: false },
      4 => Self::Freeze { index, for_ms },
      5 | 6 => Self::Kill { indexes: some(rng, boxes), down_ms: for_ms / 4 },
      7 => Self::Reset { index },
      8 => Self::Reload { index },
      9..=11 => Self::Change,
      12 => Self::Stop { indexes: some(rng, boxes / 2), gap_ms: for_ms / 2 },
      13 => Self::StoreDown { for_ms, lapse: rng.random() },
      14 => Self::StoreForgets,
      15 => Self::StoreLoses { late_ms: delay_ms * 10, writes: rng.random_range(1..6) },
      16 => Self::StoreSlow { for_ms, delay_ms },
      _ => Self::StoreTurnsAway { indexes: some(rng, boxes / 2), for_ms },
    }
  }

  /// Some of the boxes, `most` at most.
  fn some(rng: &mut ChaCha8Rng, boxes: usize, most: usize) -> Vec<usize> {
    let count = rng.random_range(1..=most.max(1));
    rand::seq::index::sample(rng, boxes, count).into_vec()
  }
}
