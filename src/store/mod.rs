//! The platform's key-value service as this project sees it: a trait, typed errors and a client.
//!
//! `docs/STORE.md` says what the client expects of any such service.

use super::*;

pub use self::{
  call_kind::CallKind, entry::Entry, era::Era, error::Error, event::Event, http_store::HttpStore,
  key::Key, lease_id::LeaseId, patience::Patience, refusal::Refusal, reply::Reply,
  revision::Revision, store_request::StoreRequest, value::Value, waiting::Waiting,
};

mod call_kind;
mod entry;
mod era;
mod error;
mod event;
mod http_store;
mod key;
mod lease_id;
mod patience;
mod refusal;
mod reply;
mod revision;
mod store_request;
mod value;
mod waiting;

/// Result of one call.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;

/// Largest value in bytes, where the settings name no other.
pub const VALUE_BYTES_MAX: usize = 1 << 20;

/// The platform's key-value service.
pub trait Store {
  /// Sends one request and waits for its reply. Ends soon after the request's own wait where the store
  /// is silent, and may go on while bytes of a reply keep coming.
  fn call(&self, request: StoreRequest) -> LocalFuture<Result<Reply>>;

  /// The newest era that any answer has told of. An answer of an earlier one is not believed, and what was under
  /// way when the era rose is unknown.
  fn era(&self) -> Era {
    Era::default()
  }
}

/// A future of the daemon's one thread.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;
