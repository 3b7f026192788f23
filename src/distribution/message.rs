use super::*;

/// What two daemons say to each other over a link.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
  /// The store has a version that the sender does not hold yet.
  Accepted {
    /// The version.
    version: Version,
  },
  /// Answers an inquiry.
  Answer {
    /// The asker's id of the inquiry.
    id: InquiryId,
    /// What is known.
    reports: Vec<Report>,
  },
  /// An inquiry.
  Ask {
    /// Daemons that the inquiry may still pass.
    hops: u8,
    /// The asker's id of the inquiry.
    id: InquiryId,
    /// The question.
    question: Question,
  },
  /// The regular word.
  #[serde(rename = "b")]
  Beat(Beat),
  /// Which data halls the operators evacuate, or take back.
  Evacuations(Vec<Evacuation>),
  /// What boxes saw of the answers of their backend servers, for those who may decide a roll-out.
  Evidence(Vec<Evidence>),
  /// News about endpoints.
  News(Vec<Endpoint>),
  /// The sender does not serve the receiver: go elsewhere.
  Redirect {
    /// The highest version that the sender knows the receiver's box, or itself, to have held.
    floor: Version,
    /// The relays that the sender knows.
    relays: Relays,
  },
  /// The sender did not apply an update and asks for the whole.
  Refused {
    /// Why.
    reason: String,
  },
  /// The relays changed.
  Relays(Relays),
  /// Where a roll-out stands.
  Rollout(Box<rollout::RolloutUpdate>),
  /// Asks for configuration and news.
  Subscribe(Box<Subscribe>),
  /// A newer version.
  Update(PackedUpdate),
  /// The sender serves the receiver from now on.
  Welcome {
    /// The highest version that the sender knows the receiver's box, or itself, to have held.
    floor: Version,
    /// Whether the sender holds a relay slot.
    is_relay: bool,
    /// The relays that the sender knows.
    relays: Relays,
  },
}
