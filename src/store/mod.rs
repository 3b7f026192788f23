//! Access to the platform's key-value store: a trait, typed errors and an HTTP client.
//!
//! `docs/STORE.md` lists what the client requires of a store.

use super::*;

pub use self::{
  adaptive_timeout::AdaptiveTimeout, answer_waiter::AnswerWaiter, call_kind::CallKind,
  entry::Entry, era::Era, error::Error, event::Event, http_store::HttpStore, key::Key,
  lease_id::LeaseId, refusal::Refusal, reply::Reply, revision::Revision,
  store_request::StoreRequest, value::Value,
};

mod adaptive_timeout;
mod answer_waiter;
mod call_kind;
mod entry;
mod era;
mod error;
mod event;
mod http_store;
mod key;
mod lease_id;
mod refusal;
mod reply;
mod revision;
mod store_request;
mod value;

/// The result of one call to the store.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;

/// The default maximum size of a value, in bytes.
pub const VALUE_BYTES_MAX: usize = 1 << 20;

/// The platform's key-value store.
pub trait Store {
  /// Sends a request and waits for its reply. If the store is silent, the call fails soon after the
  /// time that the request lets the store wait. It may take longer while bytes of a reply keep
  /// arriving.
  fn call(&self, request: StoreRequest) -> LocalFuture<Result<Reply>>;

  /// Returns the latest era seen in an answer. Answers of an earlier era are discarded. The outcome
  /// of calls in progress when the era increases is unknown.
  fn era(&self) -> Era {
    Era::default()
  }
}

/// A boxed future for the daemon's single-threaded runtime.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;
