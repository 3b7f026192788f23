use super::*;

/// What the store answers to a call that it carried out.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum Reply {
  /// The changes that a watch waited for; none where its time ran out.
  Changes {
    /// The changes, oldest first.
    events: Vec<Event>,
    /// The store's revision: the next watch goes on from here.
    revision: Revision,
  },
  /// The lease ended or the key is gone.
  Done,
  /// The entry that a read found.
  Entry {
    /// The entry; nothing where the key does not exist.
    entry: Option<Entry>,
    /// The store's revision.
    revision: Revision,
  },
  /// What a list found.
  Entries {
    /// The entries, by key.
    entries: Vec<Entry>,
    /// The store's revision.
    revision: Revision,
  },
  /// A lease was made or renewed.
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
  /// The same reply of a store in that era.
  #[must_use]
  pub fn of_era(mut self, era: Era) -> Self {
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
