use super::*;

/// One call to the store.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", tag = "op")]
pub enum StoreRequest {
  /// Replaces a value where the key still has that revision.
  CompareAndSwap {
    /// The key.
    key: Key,
    /// The revision that the key must have.
    revision: Revision,
    /// The new value.
    value: String,
  },
  /// Writes a value where the key does not exist.
  Create {
    /// The key.
    key: Key,
    /// The lease that the key goes with; kept forever where absent.
    lease: Option<LeaseId>,
    /// The value.
    value: String,
  },
  /// Removes a key.
  Delete {
    /// The key.
    key: Key,
  },
  /// Makes a lease.
  GrantLease {
    /// Milliseconds until the lease ends unless renewed.
    ttl_ms: u64,
  },
  /// Reads all keys under a prefix.
  List {
    /// The prefix.
    prefix: Key,
  },
  /// Reads all keys under a prefix as they were a moment ago, which costs the store less.
  ListStale {
    /// The prefix.
    prefix: Key,
  },
  /// Writes a value, whatever the key has.
  Put {
    /// The key.
    key: Key,
    /// The lease that the key goes with; kept forever where absent.
    lease: Option<LeaseId>,
    /// The value.
    value: String,
  },
  /// Reads one key.
  Read {
    /// The key.
    key: Key,
  },
  /// Starts the time of a lease anew.
  RenewLease {
    /// The lease.
    lease: LeaseId,
  },
  /// Ends a lease and removes its keys.
  RevokeLease {
    /// The lease.
    lease: LeaseId,
  },
  /// Waits for changes under a prefix.
  Watch {
    /// Only changes above this revision count.
    after: Revision,
    /// The prefix.
    prefix: Key,
    /// Milliseconds until the store replies without any change.
    wait_ms: u64,
  },
}

impl StoreRequest {
  /// Whether the request may change the store.
  pub fn is_write(&self) -> bool {
    !matches!(
      self,
      Self::List { .. } | Self::ListStale { .. } | Self::Read { .. } | Self::Watch { .. }
    )
  }

  /// Milliseconds that the store may wait on purpose before it replies.
  pub fn wait_ms(&self) -> u64 {
    match self {
      Self::Watch { wait_ms, .. } => *wait_ms,
      _ => 0,
    }
  }
}
