use super::*;

/// What a daemon knows about one open link.
#[derive(Clone, Debug)]
pub struct Link {
  /// When the peer applied `version`, in milliseconds since 1970 by the peer's clock.
  pub applied_unix_ms: u64,
  /// Boxes whose news waits for the next flush.
  pub dirty: BTreeSet<BoxId>,
  /// When the last message came.
  pub heard_at: Time,
  /// Whether the peer said that it holds a relay slot.
  pub is_relay: bool,
  /// Beats in a row whose endpoint fingerprint differed.
  pub mismatches: u32,
  /// When the link opened.
  pub opened_at: Time,
  /// The box at the other end.
  pub peer: BoxId,
  /// Why the peer last refused an update.
  pub refusal: Option<String>,
  /// What the peer is to this daemon.
  pub role: LinkRole,
  /// The last update sent, and when.
  pub sent: Option<(Version, Time)>,
  /// The version that the peer will hold once it applied what was sent.
  pub sent_held: Option<(Version, u32)>,
  /// Milliseconds since the store confirmed the peer's version, as of its last beat.
  pub store_age_ms: Option<u64>,
  /// When the whole endpoint table was last sent.
  pub synced_at: Option<Time>,
  /// Unsound updates that came by this link.
  pub unsound: u32,
  /// The version that the peer said it holds, with the start of its digest.
  pub version: Option<(Version, u32)>,
  /// When a whole version was last sent because the peer refused a delta.
  pub whole_sent_at: Option<Time>,
}

impl Link {
  /// A link just opened to `peer`.
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

  /// Whether the link carries configuration and news.
  pub fn is_settled(&self) -> bool {
    self.role != LinkRole::Pending
  }

  /// Whether an update up to `version` should be sent now.
  pub fn wants(&self, now: Time, version: Version, resend_ms: u64) -> bool {
    if !self.is_settled() || self.version.is_some_and(|(held, _)| held >= version) {
      return false;
    }
    self.sent.is_none_or(|(sent, at)| sent < version || now.since_ms(at) >= resend_ms)
  }
}
