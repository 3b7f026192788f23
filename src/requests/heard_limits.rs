use super::*;

/// The rate limits of backend servers at other boxes, as their daemons reported them with answers.
///
/// They are sent along with further requests, so that a daemon that starts again knows the limit of
/// its backend server before the first request of a box that was told of it.
#[derive(Clone, Debug, Default)]
pub struct HeardLimits {
  /// The limits, and when they were last reported.
  by_box: BTreeMap<BoxId, (LimitHint, Time)>,
}

impl HeardLimits {
  /// Milliseconds after its last report at which a limit is forgotten. It may have ended meanwhile;
  /// a restart takes much less.
  const AGE_MAX_MS: u64 = 60_000;

  /// Handles an answer of the backend server at a box, with the limit reported beside it.
  pub fn answered(&mut self, now: Time, box_id: &BoxId, limit: Option<LimitHint>) {
    let Some(limit) = limit else {
      self.by_box.remove(box_id);
      return;
    };
    if self.by_box.insert(box_id.clone(), (limit, now)).is_none() {
      self.by_box.retain(|_, (_, at)| now.since_ms(*at) < Self::AGE_MAX_MS);
    }
  }

  /// Returns the limit to send along with a request to a box.
  pub fn of(&self, now: Time, box_id: &BoxId) -> Option<&LimitHint> {
    let (limit, at) = self.by_box.get(box_id)?;
    (now.since_ms(*at) < Self::AGE_MAX_MS).then_some(limit)
  }
}
