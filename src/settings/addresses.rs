use super::*;

/// Where a daemon listens. All four differ.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
  /// For operators: the administration API, metrics and health.
  pub administration: SocketAddr,
  /// For callers.
  pub callers: SocketAddr,
  /// For requests that other daemons forward.
  pub forward: SocketAddr,
  /// For links from other daemons.
  pub links: SocketAddr,
}

impl Addresses {
  pub(super) fn read(node: &Node) -> Option<Self> {
    const KEYS: [&str; 4] = ["administration", "callers", "forward", "links"];
    node.object(&KEYS);
    let found = KEYS.map(|key| node.field(key).address());
    for (index, address) in found.iter().enumerate() {
      let earlier = found[..index].iter().position(|other| other == address);
      if let Some(other) = earlier.filter(|_| address.is_some()) {
        node.field(KEYS[index]).fault(format!("another address than that of {}", KEYS[other]));
      }
    }
    let [administration, callers, forward, links] = found;
    Some(Self {
      administration: administration?,
      callers: callers?,
      forward: forward?,
      links: links?,
    })
  }
}
