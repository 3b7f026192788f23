use super::*;

/// How the requests for a service are split between its versions.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
  /// The version in force. If `None`, any version other than the target counts as in force.
  pub base: Option<SoftwareVersion>,
  /// The boxes of the new version that take its share; all of them if empty.
  pub boxes: BTreeSet<BoxId>,
  /// The new version's share, in requests per thousand.
  pub permille: u32,
  /// The store's revision of the order in progress, if any.
  pub order_revision: Option<Revision>,
  /// The new version, which is not in force and gets only its share.
  pub target: Option<SoftwareVersion>,
}

impl Traffic {
  /// The share that stands for all requests, in requests per thousand.
  pub const PERMILLE_ALL: u32 = 1_000;

  /// The traffic rule that follows from a rollout record.
  pub fn of(record: &Record) -> Self {
    let target = record.order.target.clone();
    match &record.stage {
      Stage::Completed => Self { base: Some(target), ..Self::default() },
      stage => Self {
        base: record.base.clone(),
        boxes: match stage {
          Stage::Canary(canary) => canary.boxes.clone(),
          _ => BTreeSet::new(),
        },
        permille: stage.permille(),
        order_revision: (!stage.is_final()).then_some(record.order_revision),
        target: Some(target),
      },
    }
  }

  /// The traffic rule of a service without a rollout.
  pub fn in_force(base: SoftwareVersion) -> Self {
    Self { base: Some(base), ..Self::default() }
  }

  /// Whether a box may receive a request of this lane.
  pub fn admits(&self, endpoint: &Endpoint, lane: Lane) -> bool {
    let Some(software) = &endpoint.software else {
      // The version becomes known shortly. Until then it may be the new one.
      return self.target.is_none();
    };
    if self.target.as_ref() == Some(software) {
      let is_chosen = self.boxes.is_empty() || self.boxes.contains(&endpoint.peer.box_id);
      return lane == Lane::Target && self.permille > 0 && is_chosen;
    }
    let is_in_force = self.base.as_ref().is_none_or(|base| base == software);
    is_in_force && lane == Lane::InForce
  }

  /// The lane of requests outside the new version's share: `Target` only once all requests go there.
  pub fn default_lane(&self) -> Lane {
    if self.permille == Self::PERMILLE_ALL { Lane::Target } else { Lane::InForce }
  }

  /// Returns why a backend server of this version may not run requests, or `None` if it may.
  pub fn rejection_reason(&self, software: Option<&SoftwareVersion>) -> Option<&'static str> {
    let Some(software) = software else {
      return self.target.as_ref().map(|_| "the version of the backend server is not known yet");
    };
    if self.target.as_ref() == Some(software) {
      return (self.permille == 0).then_some("the version of the backend server gets no requests");
    }
    let is_in_force = self.base.as_ref().is_none_or(|base| base == software);
    (!is_in_force).then_some("the version of the backend server is not in force")
  }

  /// Whether a version is being replaced: all requests go to another one.
  pub fn is_leaving(&self, software: &SoftwareVersion) -> bool {
    self.permille == Self::PERMILLE_ALL
      && self.target.as_ref().is_some_and(|target| target != software)
  }
}
