use super::*;

/// A box of the development deployment.
pub struct DevBox {
  /// The backend server.
  pub backend_server: BackendServer,
  /// The daemon on the same box.
  pub daemon: Rc<Daemon>,
}

impl DevBox {
  /// The address of the daemon's administration API.
  pub fn administration(&self) -> SocketAddr {
    self.daemon.node.shared.settings.addresses.administration
  }

  /// The box's name.
  pub fn box_id(&self) -> &BoxId {
    &self.daemon.node.shared.settings.box_id
  }

  /// The address that callers connect to.
  pub fn callers(&self) -> SocketAddr {
    self.daemon.node.shared.settings.addresses.callers
  }

  /// The service of the box's backend server.
  pub fn service(&self) -> &ServiceName {
    &self.daemon.node.shared.settings.service
  }

  /// Sends a script of statements to the daemon and returns its answer.
  pub async fn execute(&self, text: &str) -> Result<Answer> {
    let request = StatementRequest { change_id: None, text: text.into() };
    Ok(query::send_script(self.administration(), None, &request).await?)
  }
}
