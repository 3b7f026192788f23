use super::*;

/// A message between two daemons over a link.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
  /// The store has a version that the sender does not hold yet.
  Accepted {
    /// The version.
    version: Version,
  },
  /// The answer to an inquiry.
  Answer {
    /// Number of boxes that answered; 0 from daemons that don't count them.
    #[serde(default)]
    asked: usize,
    /// The asker's id of the inquiry.
    id: InquiryId,
    /// The collected reports.
    reports: Vec<Report>,
  },
  /// An inquiry.
  Ask {
    /// Remaining hops of the inquiry.
    hops: u8,
    /// The asker's id of the inquiry.
    id: InquiryId,
    /// The question.
    question: Question,
  },
  /// The periodic heartbeat.
  #[serde(rename = "b")]
  Heartbeat(Heartbeat),
  /// Evacuations of data halls that began or ended.
  Evacuations(Vec<Evacuation>),
  /// Boxes' observations of their backend servers' answers, for the daemons that may decide a
  /// roll-out.
  Evidence(Vec<Evidence>),
  /// Updated endpoints.
  #[serde(rename = "news")]
  Endpoints(Vec<Endpoint>),
  /// The sender does not serve the receiver, which should try another relay.
  Redirect {
    /// The highest version that the receiver's box or the sender is known to have held.
    floor: Version,
    /// The relays that the sender knows.
    relays: Relays,
  },
  /// The sender did not apply an update and asks for a whole version.
  Refused {
    /// Why.
    reason: String,
  },
  /// The relays changed.
  Relays(Relays),
  /// The state of a roll-out.
  Rollout(Box<rollout::RolloutUpdate>),
  /// Asks for configuration and endpoint updates.
  Subscribe(Box<Subscribe>),
  /// An update to a newer version.
  Update(PackedUpdate),
  /// The sender serves the receiver from now on.
  Welcome {
    /// The highest version that the receiver's box or the sender is known to have held.
    floor: Version,
    /// Whether the sender holds a relay slot.
    is_relay: bool,
    /// The relays that the sender knows.
    relays: Relays,
  },
}
