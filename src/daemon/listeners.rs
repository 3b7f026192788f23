use super::*;

/// The bound listeners of a daemon.
pub struct Listeners {
  /// For operators.
  pub administration: Listener,
  /// For callers.
  pub callers: Listener,
  /// For requests that other daemons forward.
  pub forward: Listener,
  /// For links from other daemons.
  pub links: Listener,
}

impl Listeners {
  /// Binds all addresses of the settings, or none.
  pub fn bind(settings: &Settings) -> Result<Self> {
    let addresses = &settings.addresses;
    Ok(Self {
      administration: bind("administration", addresses.administration)?,
      callers: bind("callers", addresses.callers)?,
      forward: bind("forward", addresses.forward)?,
      links: bind("links", addresses.links)?,
    })
  }
}

fn bind(key: &'static str, address: SocketAddr) -> Result<Listener> {
  Listener::bind(address).map_err(|source| Error::Listen { address, key, source })
}
