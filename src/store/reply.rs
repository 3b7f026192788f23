use super::*;

/// The store's reply to a call that it carried out.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum Reply {
  /// The changes that a watch waited for; empty if its wait ended without one.
  Changes {
    /// The changes, oldest first.
    events: Vec<Event>,
    /// The store's revision, from which the next watch continues.
    revision: Revision,
  },
  /// The lease was revoked or the key deleted.
  Done,
  /// The result of a read.
  Entry {
    /// The entry, or `None` if the key doesn't exist.
    entry: Option<Entry>,
    /// The store's revision.
    revision: Revision,
  },
  /// The result of a list.
  Entries {
    /// The entries, ordered by key.
    entries: Vec<Entry>,
    /// The store's revision.
    revision: Revision,
  },
  /// A lease was granted or renewed.
  Lease {
    /// The lease.
    lease: LeaseId,
  },
  /// A value was written.
  Written {
    /// The revision of the write.
    revision: Revision,
  },
}

impl Reply {
  /// Sets the era of all revisions in the reply.
  #[must_use]
  pub fn with_era(mut self, era: Era) -> Self {
    match &mut self {
      Self::Changes { events, revision } => {
        revision.era = era;
        for event in events {
          event.revision.era = era;
          if let Some(entry) = &mut event.entry {
            entry.revision.era = era;
          }
        }
      }
      Self::Entries { entries, revision } => {
        revision.era = era;
        for entry in entries {
          entry.revision.era = era;
        }
      }
      Self::Entry { entry, revision } => {
        revision.era = era;
        if let Some(entry) = entry {
          entry.revision.era = era;
        }
      }
      Self::Written { revision } => revision.era = era,
      Self::Done | Self::Lease { .. } => {}
    }
    self
  }
}
