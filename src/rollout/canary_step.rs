//! The steps in which a new version gets more requests.

use super::*;

/// One canary step.
#[derive(Clone, Copy, Debug)]
pub(super) struct CanaryStep {
  /// When the step ends, as a fraction of the order's duration.
  pub(super) end_fraction: f64,
  /// The share in requests per thousand. `None` if a few boxes get the load that each box will have once all requests
  /// go to the new version.
  pub(super) permille: Option<u32>,
}

impl CanaryStep {
  /// First, each backend server gets a few requests; this reveals a version that fails, is slow, is bad on one route
  /// or turns bad after some seconds. Then a few backend servers get their full load; this reveals a version that is
  /// bad under load while most requests are still safe. Larger shares follow quickly.
  pub(super) const ALL: [Self; 4] = [
    Self { permille: Some(40), end_fraction: 0.38 },
    Self { permille: None, end_fraction: 0.52 },
    Self { permille: Some(250), end_fraction: 0.58 },
    Self { permille: Some(500), end_fraction: 0.64 },
  ];
  /// The index of the first step in which most of the new backend servers get many requests.
  pub(super) const FIRST_LARGE: usize = 2;
  /// The largest share of the step with full load, in requests per thousand. In a small fleet one box alone would
  /// exceed what a bad version may receive.
  const FULL_LOAD_PERMILLE_MAX: u32 = 150;
  /// One in this many boxes gets its full load.
  const FULL_LOAD_ONE_IN: usize = 12;

  /// The canary of the step with this index. `live` holds the boxes of the new version, fewest failures first.
  pub(super) fn canary(step_index: usize, live: &[&Endpoint]) -> Canary {
    match Self::ALL[step_index].permille {
      Some(permille) => Canary { boxes: BTreeSet::new(), permille, step_index },
      None => Self::full_load_canary(step_index, live),
    }
  }

  fn full_load_canary(step_index: usize, live: &[&Endpoint]) -> Canary {
    let count = (live.len() / Self::FULL_LOAD_ONE_IN).max(1);
    let boxes: BTreeSet<BoxId> =
      live.iter().take(count).map(|endpoint| endpoint.peer.box_id.clone()).collect();
    let permille = u32::try_from(1_000 * count / live.len().max(1)).unwrap_or(u32::MAX);
    Canary { boxes, permille: permille.min(Self::FULL_LOAD_PERMILLE_MAX), step_index }
  }
}
