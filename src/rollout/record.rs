use super::*;

/// The state of a service's rollout, held in the store and sent between boxes.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Record {
  /// The version in force when the order came, or `None` if no backend server had reported one.
  #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
  pub base: Option<SoftwareVersion>,
  /// The box that decides on the next step.
  #[serde(rename = "x")]
  pub decider: BoxId,
  /// The operator's order.
  #[serde(rename = "o")]
  pub order: Order,
  /// The store's revision of the order, which distinguishes the orders of a service.
  #[serde(rename = "r")]
  pub order_revision: Revision,
  /// When the order was first known, in milliseconds since 1970, for boxes that start later.
  #[serde(rename = "u")]
  pub ordered_unix_ms: u64,
  /// The current stage.
  #[serde(rename = "g")]
  pub stage: Stage,
  /// Grows with each change of the record of one order.
  #[serde(rename = "n")]
  pub step: u64,
}

impl Record {
  /// Whether this record replaces `other` of the same service.
  ///
  /// A later order takes precedence. Within one order, a final stage does, as the store admits only one; then a
  /// halt, so that no concurrent step sends requests to a version that a box found bad; then the later step.
  pub fn is_newer_than(&self, other: &Self) -> bool {
    let rank = |record: &Self| {
      (record.order_revision, record.stage.is_final(), record.stage.is_undone(), record.step)
    };
    rank(self) > rank(other)
  }

  /// Returns the following record, with this stage.
  #[must_use]
  pub fn next(&self, stage: Stage) -> Self {
    Self { stage, step: self.step + 1, ..self.clone() }
  }

  /// Whether this record belongs to the order with this revision. After the store is restored from a copy, the same
  /// order is written again with another revision.
  pub fn is_of(&self, order: &Order, revision: Revision) -> bool {
    self.order_revision == revision
      || (self.order_revision.era < revision.era && self.order == *order)
  }
}
