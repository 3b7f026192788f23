use super::*;

/// The newest known status of a box and its backend server.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Endpoint {
  /// How many processes of the backend server followed the first one of this incarnation. What was learned about one
  /// process doesn't apply to the next.
  #[serde(rename = "b", default, skip_serializing_if = "is_zero")]
  pub backend_starts: u32,
  /// The box's latest findings about requests that ran when a process of its backend server crashed.
  #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
  pub findings: Vec<RunFinding>,
  /// The speed of the box's network link in megabits a second; 0 if unknown.
  #[serde(rename = "m", default, skip_serializing_if = "is_zero")]
  pub link_mbps: u32,
  /// The address at which the daemon accepts requests of other daemons.
  #[serde(rename = "f")]
  pub forward_address: SocketAddr,
  /// The incarnation of the box.
  #[serde(rename = "i")]
  pub incarnation: Incarnation,
  /// The box and the address at which its daemon accepts links.
  #[serde(rename = "p")]
  pub peer: Peer,
  /// The region of the box.
  #[serde(rename = "g")]
  pub region: Region,
  /// The relay that the box is subscribed to; the box itself if it is a relay.
  #[serde(rename = "r")]
  pub relay: Option<BoxId>,
  /// Grows with each change that the box announces in one incarnation.
  #[serde(rename = "q")]
  pub sequence: u64,
  /// The service that the backend server serves.
  #[serde(rename = "s")]
  pub service: ServiceName,
  /// The number of requests that the backend server runs at once.
  #[serde(rename = "n")]
  pub slots: u32,
  /// The backend server's software version, or `None` if it hasn't been reported yet.
  #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
  pub software: Option<SoftwareVersion>,
  /// The state of the backend server.
  #[serde(rename = "t")]
  pub state: EndpointState,
}

impl Endpoint {
  /// The most findings sent with a box's status. They cover the last crashes, so that a starting daemon learns of them.
  /// A crash names a dozen requests, in about 120 bytes.
  const FINDINGS_MAX: usize = 8;

  /// Adds a finding of this box about requests that ran on it.
  pub fn add_finding(&mut self, finding: RunFinding) {
    if let RunOutcome::Survived(survivors) = &finding.outcome {
      self.forget_crashes_of(survivors);
    }
    let is_idle = |finding: &RunFinding| finding.outcome == RunOutcome::Crashed(Vec::new());
    if is_idle(&finding) {
      self.findings.retain(|earlier| !is_idle(earlier));
    }
    if self.findings.len() >= Self::FINDINGS_MAX {
      self.findings.remove(0);
    }
    self.findings.push(finding);
  }

  /// Removes requests that have since completed on this box from the crash suspects.
  fn forget_crashes_of(&mut self, survivors: &[Fingerprint]) {
    for finding in &mut self.findings {
      if let RunOutcome::Crashed(suspects) = &mut finding.outcome {
        suspects.retain(|suspect| !survivors.contains(suspect));
      }
    }
  }

  /// Whether this status replaces `other` of the same box.
  ///
  /// A later incarnation takes precedence. Within one incarnation, leaving takes precedence over everything, then the
  /// later announcement does; a loss takes precedence over the announcement that it refers to.
  pub fn is_newer_than(&self, other: &Self) -> bool {
    let rank = |endpoint: &Self| {
      (
        endpoint.incarnation,
        endpoint.state == EndpointState::Leaving,
        endpoint.sequence,
        endpoint.state == EndpointState::Lost,
      )
    };
    rank(self) > rank(other)
  }

  /// A hash that differs, barring collisions, between different statuses.
  fn fingerprint(&self) -> u32 {
    let text =
      format!("{} {} {} {}", self.peer.box_id, self.incarnation, self.sequence, self.state);
    Digest::of(text.as_bytes()).prefix()
  }

  /// The entry's contribution to the fingerprint of a table; 0 if the box is gone.
  pub(super) fn share(&self) -> u32 {
    if self.state.is_gone() { 0 } else { self.fingerprint() }
  }
}

#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(number: &u32) -> bool {
  *number == 0
}
