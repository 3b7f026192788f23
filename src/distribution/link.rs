use super::*;

/// The state of one open link.
#[derive(Clone, Debug)]
pub struct Link {
  /// When the peer applied `version`, in milliseconds since 1970 by the peer's clock.
  pub applied_unix_ms: u64,
  /// Boxes whose updated endpoints are sent with the next flush.
  pub dirty: BTreeSet<BoxId>,
  /// When the last message was received.
  pub heard_at: Time,
  /// Whether the peer reported that it holds a relay slot.
  pub is_relay: bool,
  /// Consecutive heartbeats whose endpoint fingerprint differed.
  pub mismatches: u32,
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
  /// The version that the peer will hold after applying the last update sent, with the prefix of
  /// its digest.
  pub sent_held: Option<(Version, u32)>,
  /// Milliseconds since the store confirmed the peer's version, as of its last heartbeat.
  pub store_age_ms: Option<u64>,
  /// When the whole endpoint table was last sent.
  pub synced_at: Option<Time>,
  /// Number of invalid updates received by this link.
  pub unsound: u32,
  /// The version that the peer reported to hold, with the prefix of its digest.
  pub version: Option<(Version, u32)>,
  /// When a whole version was last sent because the peer refused an update.
  pub whole_sent_at: Option<Time>,
}

impl Link {
  /// Creates the state of a link just opened to `peer`.
  pub fn new(now: Time, peer: BoxId, role: LinkRole) -> Self {
    Self {
      applied_unix_ms: 0,
      dirty: BTreeSet::new(),
      heard_at: now,
      is_relay: false,
      mismatches: 0,
      opened_at: now,
      peer,
      refusal: None,
      role,
      sent: None,
      sent_held: None,
      store_age_ms: None,
      synced_at: None,
      unsound: 0,
      version: None,
      whole_sent_at: None,
    }
  }

  /// Whether the roles are agreed and the link carries configuration and endpoint updates.
  pub fn is_settled(&self) -> bool {
    self.role != LinkRole::Pending
  }

  /// Whether an update to `version` should be sent now: the peer lacks it, and it was not sent
  /// within the last `resend_ms` milliseconds.
  pub fn wants(&self, now: Time, version: Version, resend_ms: u64) -> bool {
    if !self.is_settled() || self.version.is_some_and(|(held, _)| held >= version) {
      return false;
    }
    self.sent.is_none_or(|(sent, at)| sent < version || now.since_ms(at) >= resend_ms)
  }
}
