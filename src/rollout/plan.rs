//! The rungs by which a new version gets more requests.

use super::*;

/// One rung.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rung {
  /// Requests in a thousand; nothing where a few boxes get as many as each would once all requests go there.
  pub(super) permille: Option<u32>,
  /// The part of the order's time until which it lasts.
  pub(super) until_part: f64,
}

impl Rung {
  /// First a few requests to each backend server, which show a version that fails, is slow, is bad on one route, or
  /// turns bad after some seconds. Then as many to a few of them as each will get, which show one that is bad under
  /// load, while most requests are still safe. Then larger shares, soon one after the other.
  pub(super) const ALL: [Self; 4] = [
    Self { permille: Some(40), until_part: 0.38 },
    Self { permille: None, until_part: 0.52 },
    Self { permille: Some(250), until_part: 0.58 },
    Self { permille: Some(500), until_part: 0.64 },
  ];
  /// The first rung on which most of the new backend servers get many requests.
  pub(super) const FIRST_LARGE: usize = 2;
  /// The share that a few boxes get, at most, in requests in a thousand. In a small fleet one box alone would take
  /// more than a bad version may receive.
  const LOADED_PERMILLE_MAX: u32 = 150;
  /// One box in so many takes as many requests as each will get.
  const LOADED_PART: usize = 12;

  /// The share of the requests on the rung with this index, among the boxes of the new version, the soundest first.
  pub(super) fn canary(rung: usize, live: &[&Endpoint]) -> Canary {
    match Self::ALL[rung].permille {
      Some(permille) => Canary { boxes: BTreeSet::new(), permille, rung },
      None => Self::loaded(rung, live),
    }
  }

  fn loaded(rung: usize, live: &[&Endpoint]) -> Canary {
    let count = (live.len() / Self::LOADED_PART).max(1);
    let boxes: BTreeSet<BoxId> =
      live.iter().take(count).map(|endpoint| endpoint.peer.box_id.clone()).collect();
    let permille = u32::try_from(1_000 * count / live.len().max(1)).unwrap_or(u32::MAX);
    Canary { boxes, permille: permille.min(Self::LOADED_PERMILLE_MAX), rung }
  }
}
