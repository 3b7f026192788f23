use super::*;

/// The question of an inquiry to the fleet.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Question {
  /// The highest version that the asked box knows another box, or itself, to have held. It is not
  /// forwarded.
  Floor {
    /// The other box.
    box_id: BoxId,
  },
  /// The version that a box holds, and its source.
  Held {
    /// The box.
    box_id: BoxId,
  },
  /// The outcome of a request.
  Request {
    /// The request.
    id: RequestId,
  },
  /// The version that each box applies. Relays answer for their subscribers.
  Rollout,
}

impl Question {
  /// Whether every box must be asked, because a relay cannot answer for its subscribers.
  pub fn reaches_boxes(&self) -> bool {
    !matches!(self, Self::Rollout)
  }
}
