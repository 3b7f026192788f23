use super::*;

/// What this box knows of a service when it makes a rollout decision.
#[derive(Clone, Debug)]
pub struct FleetView<'a> {
  /// The boxes of the service that are not gone.
  pub endpoints: Vec<&'a Endpoint>,
  /// How many requests a bad version may receive.
  pub limits: ShareLimits,
  /// The current time.
  pub now: Time,
  /// This box.
  pub own_box: &'a BoxId,
  /// The number of boxes ahead of this one in the order of deciders, or `None` if this box can't be the decider.
  pub rank: Option<u64>,
  /// Whether this box receives the evidence of all boxes, and so can tell a bad version from a single faulty
  /// backend server.
  pub receives_all_evidence: bool,
  /// The current time in milliseconds since 1970.
  pub unix_ms: u64,
}

impl<'a> FleetView<'a> {
  /// Returns the boxes that run a version and take work.
  pub(super) fn live(&self, software: &SoftwareVersion) -> Vec<&'a Endpoint> {
    let is_live = |endpoint: &&&Endpoint| {
      endpoint.software.as_ref() == Some(software) && endpoint.state == EndpointState::Live
    };
    self.endpoints.iter().filter(is_live).copied().collect()
  }

  /// Returns the boxes that run a version.
  pub(super) fn of_version(&self, software: &SoftwareVersion) -> Vec<&'a Endpoint> {
    let is_of = |endpoint: &&&Endpoint| endpoint.software.as_ref() == Some(software);
    self.endpoints.iter().filter(is_of).copied().collect()
  }

  /// Returns the boxes that run another version than `software` or whose version is unknown.
  pub(super) fn others(&self, software: &SoftwareVersion) -> Vec<&'a Endpoint> {
    let is_other = |endpoint: &&&Endpoint| endpoint.software.as_ref() != Some(software);
    self.endpoints.iter().filter(is_other).copied().collect()
  }

  /// Returns the version, other than `but`, that most boxes run, or `None` if no version is known.
  pub(super) fn most_common_version(
    &self,
    but: Option<&SoftwareVersion>,
  ) -> Option<SoftwareVersion> {
    let mut boxes: BTreeMap<&SoftwareVersion, (usize, Reverse<Incarnation>)> = BTreeMap::new();
    for endpoint in &self.endpoints {
      let Some(software) = endpoint.software.as_ref().filter(|one| Some(*one) != but) else {
        continue;
      };
      let (count, oldest) = boxes.entry(software).or_insert((0, Reverse(endpoint.incarnation)));
      *count += 1;
      *oldest = (*oldest).max(Reverse(endpoint.incarnation));
    }
    // Ties go to the version with the oldest box, as boxes of a new version start beside the old ones.
    let usual = boxes.into_iter().max_by_key(|(_, rank)| *rank);
    usual.map(|(software, _)| software.clone())
  }
}

/// The number of requests that the boxes run at once.
pub(super) fn slots(endpoints: &[&Endpoint]) -> u32 {
  endpoints.iter().map(|endpoint| endpoint.slots).sum()
}
