//! A whole deployment in one process: the store, and a daemon and a backend server on each box.

use super::*;

use crate::{
  administration::{Answer, AnswerOutcome, StatementRequest},
  commands::query,
  daemon::{Daemon, Listeners, signals::Signals},
  fleet::Peer,
  node::SystemClock,
  proxy::headers,
  settings::Settings,
  fake::{BackendServer, StoreServer},
  telemetry::{Log, LogFormat, LogLevel},
  web::{AnyBody, Listener},
};

pub use self::{dev_box::DevBox, error::Error, mesh::Mesh};

mod dev_box;
mod error;
mod mesh;
mod tour;

/// Result of a step of the tour.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;

/// Runs the deployment: once through the tour, or until it is asked to stop.
pub async fn run(once: bool) -> Result {
  let mesh = Mesh::start(Mesh::inyandiko())?;
  mesh.settle().await?;
  if once {
    return tour::make(&mesh).await;
  }
  let signals = Signals::take()?;
  print!("{mesh}");
  signals.next().await?;
  Ok(())
}
