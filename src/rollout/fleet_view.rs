use super::*;

/// What a box knows at the moment of a decision about the roll-out of a service.
#[derive(Clone, Debug)]
pub struct FleetView<'a> {
  /// The boxes of the service that are not gone.
  pub endpoints: Vec<&'a Endpoint>,
  /// Whether this box hears of the answers of all boxes, and so can tell a bad version from a backend server in
  /// trouble of its own.
  pub hears_all: bool,
  /// What a bad version may receive.
  pub limits: ShareLimits,
  /// The present moment.
  pub now: Time,
  /// This box.
  pub own_box: &'a BoxId,
  /// How many boxes would decide before this one does; nothing where it leaves that to others.
  pub rank: Option<u64>,
  /// Milliseconds since 1970.
  pub unix_ms: u64,
}

impl<'a> FleetView<'a> {
  /// The boxes that run a version and take work.
  pub(super) fn live(&self, software: &SoftwareVersion) -> Vec<&'a Endpoint> {
    let is_live = |endpoint: &&&Endpoint| {
      endpoint.software.as_ref() == Some(software) && endpoint.state == EndpointState::Live
    };
    self.endpoints.iter().filter(is_live).copied().collect()
  }

  /// The boxes that run a version.
  pub(super) fn of_version(&self, software: &SoftwareVersion) -> Vec<&'a Endpoint> {
    let is_of = |endpoint: &&&Endpoint| endpoint.software.as_ref() == Some(software);
    self.endpoints.iter().filter(is_of).copied().collect()
  }

  /// The boxes that run another version than `software`, or do not say which.
  pub(super) fn others(&self, software: &SoftwareVersion) -> Vec<&'a Endpoint> {
    let is_other = |endpoint: &&&Endpoint| endpoint.software.as_ref() != Some(software);
    self.endpoints.iter().filter(is_other).copied().collect()
  }

  /// The version that most boxes run, but for one; nothing where none is known.
  pub(super) fn usual_version(&self, but: Option<&SoftwareVersion>) -> Option<SoftwareVersion> {
    let mut boxes: BTreeMap<&SoftwareVersion, (usize, Reverse<Incarnation>)> = BTreeMap::new();
    for endpoint in &self.endpoints {
      let Some(software) = endpoint.software.as_ref().filter(|one| Some(*one) != but) else {
        continue;
      };
      let (count, oldest) = boxes.entry(software).or_insert((0, Reverse(endpoint.incarnation)));
      *count += 1;
      *oldest = (*oldest).max(Reverse(endpoint.incarnation));
    }
    // Among as many the one that was there first: a new version's boxes start beside the old ones.
    let usual = boxes.into_iter().max_by_key(|(_, rank)| *rank);
    usual.map(|(software, _)| software.clone())
  }
}

/// Requests that boxes run at once.
pub(super) fn slots(endpoints: &[&Endpoint]) -> u32 {
  endpoints.iter().map(|endpoint| endpoint.slots).sum()
}
