use super::*;

/// The backend server on the daemon's box.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendServer {
  /// The address that it listens on.
  pub address: SocketAddr,
  /// Concurrent connections that it accepts. More than `slots`: one for each running request, and
  /// one for the health endpoint.
  pub connections: u32,
  /// The path of its health endpoint.
  pub health_path: String,
  /// Requests that it runs concurrently. At least 1.
  pub slots: u32,
}

impl BackendServer {
  /// `connections` until the backend server or the configuration specifies it.
  const CONNECTIONS_DEFAULT: u64 = 32;
  /// `slots` until the backend server reports its number.
  const SLOTS_DEFAULT: u64 = 8;

  pub(super) fn read(node: &Node) -> Option<Self> {
    node.object(&["address", "connections", "health_path", "slots"]);
    let address = node.field("address").address();
    let connections = node.field("connections").number_or(Self::CONNECTIONS_DEFAULT, 1, 100_000);
    let slots = node.field("slots").number_or(Self::SLOTS_DEFAULT, 1, 100_000);
    let health_path: Option<String> =
      node.field("health_path").text_or("/healthz".into(), "a path that starts with `/`");
    if let Some((slots, connections)) = slots.zip(connections).filter(|(s, c)| s >= c) {
      let allowed = format!("more than the {slots} slots");
      node.field("connections").fault_found(connections.to_string(), allowed);
      return None;
    }
    let small = |number: u64| u32::try_from(number).ok();
    Some(Self {
      address: address?,
      connections: connections.and_then(small)?,
      health_path: health_path?,
      slots: slots.and_then(small)?,
    })
  }
}
