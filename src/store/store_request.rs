use super::*;

/// A call to the store.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", tag = "op")]
pub enum StoreRequest {
  /// Replaces a value if the key still has the given revision.
  CompareAndSwap {
    /// The key.
    key: Key,
    /// The expected revision of the key.
    revision: Revision,
    /// The new value.
    value: String,
  },
  /// Writes a value if the key doesn't exist.
  Create {
    /// The key.
    key: Key,
    /// The lease that the key is bound to. Without one the key never expires.
    lease: Option<LeaseId>,
    /// The value.
    value: String,
  },
  /// Deletes a key.
  Delete {
    /// The key.
    key: Key,
  },
  /// Grants a lease.
  GrantLease {
    /// Milliseconds until the lease expires unless renewed.
    ttl_ms: u64,
  },
  /// Reads all keys under a prefix.
  List {
    /// The prefix.
    prefix: Key,
  },
  /// Reads all keys under a prefix, possibly slightly stale, which costs the store less.
  ListStale {
    /// The prefix.
    prefix: Key,
  },
  /// Writes a value unconditionally.
  Put {
    /// The key.
    key: Key,
    /// The lease that the key is bound to. Without one the key never expires.
    lease: Option<LeaseId>,
    /// The value.
    value: String,
  },
  /// Reads one key.
  Read {
    /// The key.
    key: Key,
  },
  /// Renews a lease for its full time.
  RenewLease {
    /// The lease.
    lease: LeaseId,
  },
  /// Revokes a lease and deletes its keys.
  RevokeLease {
    /// The lease.
    lease: LeaseId,
  },
  /// Waits for changes under a prefix.
  Watch {
    /// Only changes after this revision are reported.
    after: Revision,
    /// The prefix.
    prefix: Key,
    /// Milliseconds after which the store replies even without a change.
    wait_ms: u64,
  },
}

impl StoreRequest {
  /// Returns whether the request may change the store.
  pub fn is_write(&self) -> bool {
    !matches!(
      self,
      Self::List { .. } | Self::ListStale { .. } | Self::Read { .. } | Self::Watch { .. }
    )
  }

  /// Returns the milliseconds that the request lets the store wait for a change.
  pub fn wait_ms(&self) -> u64 {
    match self {
      Self::Watch { wait_ms, .. } => *wait_ms,
      _ => 0,
    }
  }
}
