//! A development deployment in one process: the store, and a daemon and a backend server per box.

use super::*;

use crate::{
  administration::{Answer, AnswerOutcome, StatementRequest},
  commands::query,
  daemon::{Daemon, Listeners, signals::Signals},
  fake::{BackendServer, StoreServer},
  fleet::Peer,
  node::SystemClock,
  proxy::headers,
  settings::Settings,
  telemetry::{Log, LogFormat, LogLevel},
  web::{AnyBody, Listener},
};

pub use self::{dev_box::DevBox, error::Error, mesh::Mesh};

mod dev_box;
mod error;
mod mesh;
mod tour;

/// Result of an operation on the deployment.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;

/// Starts the deployment. Makes the tour if `once` is set, otherwise runs until a signal arrives.
pub async fn run(once: bool) -> Result {
  let mesh = Mesh::start(Mesh::example_plans())?;
  mesh.wait_until_ready().await?;
  if once {
    return tour::run(&mesh).await;
  }
  let signals = Signals::register()?;
  print!("{mesh}");
  signals.next().await?;
  Ok(())
}
