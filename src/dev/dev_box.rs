use super::*;

/// One box of the deployment.
pub struct DevBox {
  /// The backend server.
  pub backend_server: BackendServer,
  /// The daemon beside it.
  pub daemon: Rc<Daemon>,
}

impl DevBox {
  /// Where the daemon takes statements.
  pub fn administration(&self) -> SocketAddr {
    self.daemon.node.shared.settings.addresses.administration
  }

  /// The box's name.
  pub fn box_id(&self) -> &BoxId {
    &self.daemon.node.shared.settings.box_id
  }

  /// Where the daemon takes callers.
  pub fn callers(&self) -> SocketAddr {
    self.daemon.node.shared.settings.addresses.callers
  }

  /// The service that the box serves.
  pub fn service(&self) -> &ServiceName {
    &self.daemon.node.shared.settings.service
  }

  /// States a script to the daemon.
  pub async fn state(&self, text: &str) -> Result<Answer> {
    let request = StatementRequest { change_id: None, text: text.into() };
    Ok(query::send_script(self.administration(), None, &request).await?)
  }
}
