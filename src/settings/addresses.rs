use super::*;

/// The four distinct addresses that a daemon listens on, and two that it announces to other
/// daemons.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
  /// Where other daemons reach `forward`. By default the same address.
  pub announced_forward: SocketAddr,
  /// Where other daemons reach `links`. By default the same address.
  pub announced_links: SocketAddr,
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
    const ANNOUNCED: [&str; 2] = ["announced_forward", "announced_links"];
    node.object(&[&KEYS[..], &ANNOUNCED[..]].concat());
    let found = KEYS.map(|key| node.field(key).address());
    for (index, address) in found.iter().enumerate() {
      let earlier = found[..index].iter().position(|other| other == address);
      if let Some(other) = earlier.filter(|_| address.is_some()) {
        node.field(KEYS[index]).fault(format!("another address than that of {}", KEYS[other]));
      }
    }
    let [administration, callers, forward, links] = found;
    let announced = |key: &str, own: Option<SocketAddr>| {
      let node = node.field(key);
      if node.is_present() { node.address() } else { own }
    };
    Some(Self {
      announced_forward: announced("announced_forward", forward)?,
      announced_links: announced("announced_links", links)?,
      administration: administration?,
      callers: callers?,
      forward: forward?,
      links: links?,
    })
  }
}
