use super::*;

/// What an inquiry asks of the fleet.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Question {
  /// How far the asked box knows another, or itself, to have been. Goes no further.
  Floor {
    /// The other box.
    box_id: BoxId,
  },
  /// What one box holds and how it came.
  Held {
    /// The box.
    box_id: BoxId,
  },
  /// What became of a request.
  Request {
    /// The request.
    id: RequestId,
  },
  /// Which version each box applies. Relays answer for their subscribers.
  Rollout,
}

impl Question {
  /// Whether every box must be asked, for a relay cannot answer for its subscribers.
  pub fn reaches_boxes(&self) -> bool {
    !matches!(self, Self::Rollout)
  }
}
