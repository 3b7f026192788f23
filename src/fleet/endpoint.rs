use super::*;

/// The newest news about one box and its backend server.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Endpoint {
  /// How many processes of the backend server followed the first one of this life. What was learned of one says
  /// nothing of the next.
  #[serde(rename = "b", default, skip_serializing_if = "is_zero")]
  pub backend_starts: u32,
  /// What the box found out last about requests under which processes of its backend server ended.
  #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
  pub findings: Vec<RunFinding>,
  /// Megabits a second of the box's network link; 0 where that is not known.
  #[serde(rename = "m", default, skip_serializing_if = "is_zero")]
  pub link_mbps: u32,
  /// Where the daemon takes requests from other daemons.
  #[serde(rename = "f")]
  pub forward_address: SocketAddr,
  /// Which life of the box the news is about.
  #[serde(rename = "i")]
  pub incarnation: Incarnation,
  /// The box and where its daemon takes links.
  #[serde(rename = "p")]
  pub peer: Peer,
  /// The region that the box stands in.
  #[serde(rename = "g")]
  pub region: Region,
  /// The relay that the box is subscribed to; itself where it is a relay.
  #[serde(rename = "r")]
  pub relay: Option<BoxId>,
  /// Grows within one life with each change that the box itself announces.
  #[serde(rename = "q")]
  pub sequence: u64,
  /// The service that the backend server serves.
  #[serde(rename = "s")]
  pub service: ServiceName,
  /// Requests that the backend server runs at once.
  #[serde(rename = "n")]
  pub slots: u32,
  /// The version of the backend server's software; nothing where it has not told that yet.
  #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
  pub software: Option<SoftwareVersion>,
  /// What the backend server can do.
  #[serde(rename = "t")]
  pub state: EndpointState,
}

impl Endpoint {
  /// Findings that a box tells of: those of the last crashes, so that a daemon that starts knows of them too. A
  /// crash names a dozen requests, in about 120 bytes.
  const FINDINGS_MAX: usize = 8;

  /// The box found something out about requests that ran there.
  pub fn add_finding(&mut self, finding: RunFinding) {
    if let RunOutcome::Survived(survivors) = &finding.what {
      self.forget_crashes_of(survivors);
    }
    if self.findings.len() >= Self::FINDINGS_MAX {
      self.findings.remove(0);
    }
    self.findings.push(finding);
  }

  /// What ran to its end here is not told as a suspect any more.
  fn forget_crashes_of(&mut self, survivors: &[Fingerprint]) {
    for finding in &mut self.findings {
      if let RunOutcome::Crashed(suspects) = &mut finding.what {
        suspects.retain(|suspect| !survivors.contains(suspect));
      }
    }
  }

  /// Whether this news replaces `other` about the same box.
  ///
  /// A later life wins. Within one life leaving wins over everything, then the later
  /// announcement; and a loss wins over the announcement that it is about.
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

  /// A number that differs, but for chance, where two pieces of news differ.
  fn fingerprint(&self) -> u32 {
    let text =
      format!("{} {} {} {}", self.peer.box_id, self.incarnation, self.sequence, self.state);
    Digest::of(text.as_bytes()).prefix()
  }

  /// What the entry adds to the fingerprint of a table.
  pub(super) fn share(&self) -> u32 {
    if self.state.is_gone() { 0 } else { self.fingerprint() }
  }
}

#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(number: &u32) -> bool {
  *number == 0
}
