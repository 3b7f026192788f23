use super::*;

/// The schedule of the faults of a run. The same seed gives the same plan.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Plan {
  /// Milliseconds for which callers send requests.
  pub length_ms: Ms,
  /// The faults in the order of their beginning.
  pub steps: Vec<Step>,
}

/// A fault, and when it begins.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Step {
  /// Milliseconds from the start of the run.
  pub at_ms: Ms,
  /// The fault.
  pub fault: Fault,
}

/// A fault or planned operation that affects daemons from outside. `index` is the number of a box, and
/// `for_ms` is the duration.
#[allow(missing_docs)]
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
  /// The process of a backend server crashes, and restarts under the same id.
  Crash { index: usize, down_ms: Ms },
  /// Connections from other daemons to a box transfer nothing, in one direction or both.
  Cut { index: usize, for_ms: Ms, one_way: bool },
  /// Connections from other daemons to a box are slow.
  Delay { index: usize, for_ms: Ms, delay_ms: Ms },
  /// A backend server drains, and another process replaces it, under the same id or a new one.
  Drain { index: usize, keeps_id: bool },
  /// A request that crashes the process which runs it, `crash_ms` after it begins, is sent repeatedly to all boxes.
  EndsServers { crash_ms: Ms, for_ms: Ms, kind: Kind, pause_ms: Ms },
  /// A foreign writer puts invalid data into the store, or reports in the name of a backend server.
  Foreign(Foreign),
  /// A daemon's process is paused.
  Freeze { index: usize, for_ms: Ms },
  /// A backend server runs `most` requests at once and never answers further ones, and takes `slowness` times longer.
  Hang { index: usize, for_ms: Ms, most: u32, slowness: u64 },
  /// Daemons are killed at once and started again.
  Kill { indexes: Vec<usize>, down_ms: Ms },
  /// Connections from other daemons to a box are reset.
  Reset { index: usize },
  /// A backend server tells figures of its load and speed that are not its own.
  Misreport { index: usize, for_ms: Ms, told: platform::Told },
  /// A daemon reloads its settings.
  Reload { index: usize },
  /// The operators add a route.
  Change,
  /// Open connections from other daemons to some boxes go silent for good. New connections work.
  Sever { indexes: Vec<usize> },
  /// Open connections from other daemons to a box stand still, and then deliver what was withheld. New connections work.
  Stall { index: usize, for_ms: Ms },
  /// Daemons are stopped as planned, one after the other, and started again.
  Stop { indexes: Vec<usize>, gap_ms: Ms },
  /// The store is unavailable; `lapse` tells whether leases expire meanwhile.
  StoreDown { for_ms: Ms, lapse: bool },
  /// The store is unavailable and is then restored from a copy of that age. `rewritten_ms` later the operators write
  /// again what was lost.
  StoreGoesBack { age_ms: Ms, away_ms: Ms, rewritten_ms: Ms },
  /// The store compacts its whole history.
  StoreForgets,
  /// The store loses the answers to writes, and applies these writes at once or later.
  StoreLoses { late_ms: Ms, writes: u32 },
  /// Open connections from some boxes to the store go silent for good. New connections work.
  StoreSevers { indexes: Vec<usize> },
  /// The store answers slowly.
  StoreSlow { for_ms: Ms, delay_ms: Ms },
  /// The store is unreachable for some boxes.
  StoreTurnsAway { indexes: Vec<usize>, for_ms: Ms },
}

impl Plan {
  /// Upper limit of the milliseconds between two faults. Faults may overlap.
  const GAP_MAX_MS: Ms = 1_600;
  /// Upper limit of the milliseconds between two restarts under the same id or foreign writes.
  const RESTART_GAP_MAX_MS: Ms = 3_000;
  /// Upper limit of the milliseconds between two crashing requests.
  const ENDING_GAP_MAX_MS: Ms = 9_000;
  /// Upper limit of the milliseconds between two severances of connections.
  const SEVERANCE_GAP_MAX_MS: Ms = 6_000;
  /// Upper limit of the milliseconds between two restores of the store. Two often follow each other closely.
  const RESTORE_GAP_MAX_MS: Ms = 9_000;
  /// Upper limit of the milliseconds between two backend servers that begin to hang.
  const HANG_GAP_MAX_MS: Ms = 6_000;
  /// Upper limit of the milliseconds between two backend servers that begin to tell wrong figures.
  const MISREPORT_GAP_MAX_MS: Ms = 4_000;
  /// Upper limit of the milliseconds between two boxes whose connections stand still.
  const STALL_GAP_MAX_MS: Ms = 4_000;
  /// Milliseconds without faults at the start, in which the boxes discover each other.
  const QUIET_START_MS: Ms = 1_000;
  /// Milliseconds without new faults at the end, after which everything must work again.
  pub const QUIET_END_MS: Ms = 9_000;

  /// Returns the plan of a seed for a fleet of `boxes` boxes.
  pub fn of(seed: u64, boxes: usize, length_ms: Ms) -> Self {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at_ms = Self::QUIET_START_MS;
    while at_ms + Self::QUIET_END_MS < length_ms {
      steps.push(Step { at_ms, fault: Fault::random(&mut rng, boxes) });
      at_ms += rng.random_range(50..Self::GAP_MAX_MS);
    }
    steps.extend(Self::severances(seed, boxes, length_ms));
    steps.extend(Self::restarts(seed, boxes, length_ms));
    steps.extend(Self::endings(seed, length_ms));
    steps.extend(Self::restores(seed, length_ms));
    steps.extend(Self::hangs(seed, boxes, length_ms));
    steps.extend(Self::misreports(seed, boxes, length_ms));
    steps.extend(Self::stalls(seed, boxes, length_ms));
    steps.sort_by_key(|step| step.at_ms);
    Self { length_ms, steps }
  }

  /// Severed connections. Their own random generator leaves the seed's other faults unchanged.
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

  /// Restores of the store from a copy, beside any other fault. Uses its own random generator.
  fn restores(seed: u64, length_ms: Ms) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(56));
    let mut steps = Vec::new();
    let mut at_ms = Self::QUIET_START_MS;
    loop {
      at_ms += rng.random_range(500..Self::RESTORE_GAP_MAX_MS);
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

  /// Backend servers that hang and are slow. Uses its own random generator.
  fn hangs(seed: u64, boxes: usize, length_ms: Ms) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(40));
    let mut steps = Vec::new();
    let mut at_ms = Self::QUIET_START_MS;
    loop {
      at_ms += rng.random_range(500..Self::HANG_GAP_MAX_MS);
      if at_ms + Self::QUIET_END_MS >= length_ms {
        return steps;
      }
      let fault = Fault::Hang {
        for_ms: rng.random_range(300..4_000).min(length_ms - Self::QUIET_END_MS - at_ms),
        index: rng.random_range(0..boxes),
        most: rng.random_range(0..4),
        slowness: rng.random_range(1..6),
      };
      steps.push(Step { at_ms, fault });
    }
  }

  /// Backend servers that tell wrong figures. Uses its own random generator.
  fn misreports(seed: u64, boxes: usize, length_ms: Ms) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(20));
    let mut steps = Vec::new();
    let mut at_ms = Self::QUIET_START_MS;
    loop {
      at_ms += rng.random_range(500..Self::MISREPORT_GAP_MAX_MS);
      if at_ms + Self::QUIET_END_MS >= length_ms {
        return steps;
      }
      let fault = Fault::Misreport {
        for_ms: rng.random_range(500..8_000).min(length_ms - Self::QUIET_END_MS - at_ms),
        index: rng.random_range(0..boxes),
        told: *platform::Told::FALSE.choose(&mut rng).expect("there are some"),
      };
      steps.push(Step { at_ms, fault });
    }
  }

  /// Connections that stand still for a while. Uses its own random generator.
  fn stalls(seed: u64, boxes: usize, length_ms: Ms) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(44));
    let mut steps = Vec::new();
    let mut at_ms = Self::QUIET_START_MS;
    loop {
      at_ms += rng.random_range(500..Self::STALL_GAP_MAX_MS);
      if at_ms + Self::QUIET_END_MS >= length_ms {
        return steps;
      }
      let (index, for_ms) = (rng.random_range(0..boxes), rng.random_range(300..3_000));
      steps.push(Step { at_ms, fault: Fault::Stall { index, for_ms } });
    }
  }

  /// Crashing requests, some of which overlap. Uses its own random generator.
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

  /// Backend servers that restart under the same id, some while their daemon is paused, restarted or cut off, and
  /// foreign writes. Uses its own random generator.
  fn restarts(seed: u64, boxes: usize, length_ms: Ms) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(16));
    let mut steps = Vec::new();
    let mut at_ms = Self::QUIET_START_MS;
    loop {
      at_ms += rng.random_range(200..Self::RESTART_GAP_MAX_MS);
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
      let is_restart = !matches!(fault, Fault::Foreign(_));
      steps.extend(with.filter(|_| is_restart).map(|fault| Step { at_ms, fault }));
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

  /// Returns a random selection of the boxes, at most `most`.
  fn some(rng: &mut ChaCha8Rng, boxes: usize, most: usize) -> Vec<usize> {
    let count = rng.random_range(1..=most.max(1));
    rand::seq::index::sample(rng, boxes, count).into_vec()
  }
}
