//! The fleet: boxes, the data halls they stand in, and what is known of each backend server.

use super::*;

pub use self::{
  backend_record::{BackendRecord, BackendReport, BackendState},
  endpoint::Endpoint,
  endpoint_state::EndpointState,
  endpoint_table::EndpointTable,
  peer::Peer,
};

mod backend_record;
mod endpoint;
mod endpoint_state;
mod endpoint_table;
mod peer;
