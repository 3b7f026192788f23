//! The platform's key-value service as this project sees it: a trait, typed errors and a client.
//!
//! `docs/STORE.md` says what the client expects of any such service.

use super::*;

pub use self::{
  entry::Entry, error::Error, event::Event, http_store::HttpStore, key::Key, lease_id::LeaseId,
  refusal::Refusal, reply::Reply, revision::Revision, store_request::StoreRequest,
};

mod entry;
mod error;
mod event;
mod http_store;
mod key;
mod lease_id;
mod refusal;
mod reply;
mod revision;
mod store_request;

/// Result of one call.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;

/// Largest value in bytes.
pub const VALUE_BYTES_MAX: usize = 1 << 20;

/// The platform's key-value service.
pub trait Store {
  /// Sends one request and waits for its reply. Never waits longer than the request's own wait
  /// plus the client's time limit.
  fn call(&self, request: StoreRequest) -> LocalFuture<Result<Reply>>;
}

/// A future of the daemon's one thread.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;
