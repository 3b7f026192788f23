use super::*;

/// Which versions of a service get which requests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
  /// The version in force; any where there is none.
  pub base: Option<SoftwareVersion>,
  /// The boxes of the new version that take its share; all where there are none.
  pub boxes: BTreeSet<BoxId>,
  /// Requests in a thousand for the new version.
  pub permille: u32,
  /// The revision of the order that goes on; nothing where none does.
  pub ordered_at: Option<Revision>,
  /// A version that is not in force, and gets its share alone.
  pub target: Option<SoftwareVersion>,
}

impl Traffic {
  /// All requests.
  pub const WHOLE: u32 = 1_000;

  /// The traffic while a roll-out stands like that.
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
        ordered_at: (!stage.is_final()).then_some(record.ordered_at),
        target: Some(target),
      },
    }
  }

  /// The traffic of a service of which no roll-out is known.
  pub fn in_force(base: SoftwareVersion) -> Self {
    Self { base: Some(base), ..Self::default() }
  }

  /// Whether a box may get a request of a lane.
  pub fn admits(&self, endpoint: &Endpoint, lane: Lane) -> bool {
    let Some(software) = &endpoint.software else {
      // Which version it runs is known soon. Meanwhile it may be the new one.
      return self.target.is_none();
    };
    if self.target.as_ref() == Some(software) {
      let is_chosen = self.boxes.is_empty() || self.boxes.contains(&endpoint.peer.box_id);
      return lane == Lane::Target && self.permille > 0 && is_chosen;
    }
    let is_in_force = self.base.as_ref().is_none_or(|base| base == software);
    is_in_force && lane == Lane::InForce
  }

  /// The lane of a request that is not dealt: the new version's only where all requests go there.
  pub fn main_lane(&self) -> Lane {
    if self.permille == Self::WHOLE { Lane::Target } else { Lane::InForce }
  }

  /// Why a backend server of a version may not run requests; nothing where it may.
  pub fn why_out_of_force(&self, software: Option<&SoftwareVersion>) -> Option<&'static str> {
    let Some(software) = software else {
      return self.target.as_ref().map(|_| "the version of the backend server is not known yet");
    };
    if self.target.as_ref() == Some(software) {
      return (self.permille == 0).then_some("the version of the backend server gets no requests");
    }
    let is_in_force = self.base.as_ref().is_none_or(|base| base == software);
    (!is_in_force).then_some("the version of the backend server is not in force")
  }

  /// Whether a version goes out of force: all requests go to another one.
  pub fn is_leaving(&self, software: &SoftwareVersion) -> bool {
    self.permille == Self::WHOLE && self.target.as_ref().is_some_and(|target| target != software)
  }
}
