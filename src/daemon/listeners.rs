use super::*;

/// The bound listeners of a daemon.
pub struct Listeners {
  /// For operators.
  pub administration: Listener,
  /// For callers.
  pub callers: Listener,
  /// For the platform, if the daemon runs on one.
  pub deployment: Option<DeploymentListeners>,
  /// For requests that other daemons forward.
  pub forward: Listener,
  /// For links from other daemons.
  pub links: Listener,
}

impl Listeners {
  /// Binds all addresses of the settings. Fails if one cannot be bound.
  pub fn bind(settings: &Settings) -> Result<Self> {
    let addresses = &settings.addresses;
    Ok(Self {
      administration: bind("administration", addresses.administration)?,
      callers: bind("callers", addresses.callers)?,
      deployment: settings.deployment.as_ref().map(DeploymentListeners::bind).transpose()?,
      forward: bind("forward", addresses.forward)?,
      links: bind("links", addresses.links)?,
    })
  }
}

/// The bound listeners that only a platform calls.
pub struct DeploymentListeners {
  /// For reports of the backend server.
  pub control: Listener,
  /// For monitoring systems, which read the metrics.
  pub metrics: Listener,
  /// For readiness checks.
  pub readiness: Listener,
}

impl DeploymentListeners {
  fn bind(deployment: &Deployment) -> Result<Self> {
    Ok(Self {
      control: bind("control", deployment.control)?,
      metrics: bind("metrics", deployment.metrics)?,
      readiness: bind("readiness", deployment.readiness)?,
    })
  }
}

fn bind(key: &'static str, address: SocketAddr) -> Result<Listener> {
  Listener::bind(address).map_err(|source| Error::Listen { address, key, source })
}
