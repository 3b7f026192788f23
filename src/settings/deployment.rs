use super::*;

/// The part of the settings that the platform provides.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
  /// Milliseconds within which an accepted change must be in force.
  pub apply_ms: u64,
  /// Where the daemon takes reports of its backend server.
  pub control: SocketAddr,
  /// Bandwidth of the box's network link in megabits per second.
  pub link_mbps: f64,
  /// Where the daemon serves metrics.
  pub metrics: SocketAddr,
  /// Where the daemon tells the platform whether it accepts callers.
  pub readiness: SocketAddr,
  /// Attempts beyond the first ones that the whole fleet may send to a service in a window, besides
  /// `retry_ratio`.
  pub retry_extra: u64,
  /// Attempts beyond the first ones of the whole fleet as a share of the requests for a service.
  pub retry_ratio: f64,
  /// Milliseconds of the window in which attempts beyond the first ones are counted.
  pub retry_window_ms: u64,
  /// Milliseconds within which every box must reject a revoked key, also a box that is cut off.
  /// `None` if a box that is cut off may go on accepting the keys that it knows.
  pub revoke_ms: Option<u64>,
  /// Limits on the requests that a new, possibly faulty version of a service's software may
  /// receive.
  pub share_limits: ShareLimits,
}

impl Deployment {
  const KEYS: [&str; 11] = [
    "apply",
    "control",
    "link_mbps",
    "metrics",
    "readiness",
    "retry_extra",
    "retry_ratio",
    "retry_window",
    "revoke",
    "rollout_extra",
    "rollout_share",
  ];

  /// The bandwidth of the link in whole megabits per second, at least 1.
  pub fn whole_link_mbps(&self) -> u32 {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = self.link_mbps.clamp(1.0, f64::from(u32::MAX)) as u32;
    whole
  }

  pub(super) fn read(node: &Node) -> Option<Self> {
    node.object(&Self::KEYS);
    let apply_ms = duration(node, "apply");
    let control = node.field("control").address();
    let link_mbps = node.field("link_mbps").positive();
    let metrics = node.field("metrics").address();
    let readiness = node.field("readiness").address();
    // Bounds of a deployment need not be whole. Rounded down, an allowance is not exceeded.
    let retry_extra = node.field("retry_extra").whole_part(1_000_000);
    let retry_ratio = node.field("retry_ratio").ratio();
    let retry_window_ms = duration(node, "retry_window");
    let revoke_field = node.field("revoke");
    let revoke_ms = revoke_field.is_present().then(|| revoke_field.duration_ms());
    let defaults = ShareLimits::default();
    let extra = node.field("rollout_extra").number_or(defaults.extra, 0, 1_000_000);
    let share_field = node.field("rollout_share");
    let share = if share_field.is_present() { share_field.ratio() } else { Some(defaults.share) };
    Some(Self {
      apply_ms: apply_ms?,
      control: control?,
      link_mbps: link_mbps?,
      metrics: metrics?,
      readiness: readiness?,
      retry_extra: retry_extra?,
      retry_ratio: retry_ratio?,
      retry_window_ms: retry_window_ms?,
      revoke_ms: match revoke_ms {
        None => None,
        Some(revoke_ms) => Some(revoke_ms?),
      },
      share_limits: ShareLimits { extra: extra?, share: share? },
    })
  }
}

fn duration(node: &Node, key: &str) -> Option<u64> {
  node.field(key).duration_ms()
}
