use super::*;

/// The state of one open link.
#[derive(Clone, Debug)]
pub struct Link {
  /// When the peer applied `version`, in milliseconds since 1970 by the peer's clock.
  pub applied_unix_ms: u64,
  /// Consecutive heartbeats whose endpoint fingerprint differed.
  pub fingerprint_mismatches: u32,
  /// Number of invalid updates received by this link.
  pub invalid_updates: u32,
  /// Whether the peer reported that it holds a relay slot.
  pub is_relay: bool,
  /// When the last message was received.
  pub last_received_at: Time,
  /// When the link was opened.
  pub opened_at: Time,
  /// The box at the other end.
  pub peer: BoxId,
  /// Why the peer last refused an update.
  pub refusal: Option<String>,
  /// The role of the peer towards this daemon.
  pub role: LinkRole,
  /// The version of the last update sent, and when it was sent.
  pub sent: Option<(Version, Time)>,
  /// When a whole version was last sent because the peer refused an update.
  pub snapshot_sent_at: Option<Time>,
  /// Milliseconds since the store confirmed the peer's version, as of its last heartbeat.
  pub store_age_ms: Option<u64>,
  /// When the whole endpoint table was last sent.
  pub table_sent_at: Option<Time>,
  /// Boxes whose updated endpoints are sent with the next flush.
  pub unsent_endpoints: BTreeSet<BoxId>,
  /// The version that the peer reported to hold, with the prefix of its digest.
  pub version: Option<(Version, u32)>,
  /// The version that the peer will hold after applying the last update sent, with the prefix of
  /// its digest.
  pub version_after_sent: Option<(Version, u32)>,
}

impl Link {
  /// Creates the state of a link just opened to `peer`.
  pub fn new(now: Time, peer: BoxId, role: LinkRole) -> Self {
    Self {
      applied_unix_ms: 0,
      fingerprint_mismatches: 0,
      invalid_updates: 0,
      is_relay: false,
      last_received_at: now,
      opened_at: now,
      peer,
      refusal: None,
      role,
      sent: None,
      snapshot_sent_at: None,
      store_age_ms: None,
      table_sent_at: None,
      unsent_endpoints: BTreeSet::new(),
      version: None,
      version_after_sent: None,
    }
  }

  /// Whether the roles are agreed and the link carries configuration and endpoint updates.
  pub fn is_established(&self) -> bool {
    self.role != LinkRole::Pending
  }

  /// Whether an update to `version` should be sent now: the peer lacks it, and it was not sent
  /// within the last `resend_ms` milliseconds.
  pub fn needs_update(&self, now: Time, version: Version, resend_ms: u64) -> bool {
    if !self.is_established() || self.version.is_some_and(|(held, _)| held >= version) {
      return false;
    }
    self.sent.is_none_or(|(sent, at)| sent < version || now.since_ms(at) >= resend_ms)
  }
}
