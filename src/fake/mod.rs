//! Fakes of the platform's store and of a backend server, for `ferryyoke dev` and the tests.
//!
//! They are not for production.

use super::*;

use crate::{
  store::{
    Entry, Event, Key, LeaseId, Refusal, Reply, Revision, StoreRequest, VALUE_BYTES_MAX, Value,
  },
  web::{AnyBody, Incoming},
};

pub use self::{
  backend_faults::BackendFaults, backend_server::BackendServer, bucket::Bucket, journal::Journal,
  keyspace::Keyspace, run::Run, store_faults::StoreFaults, store_server::StoreServer,
};

mod backend_faults;
mod backend_server;
mod bucket;
mod journal;
mod keyspace;
mod run;
mod store_faults;
mod store_server;
