//! The fleet: boxes, their data halls, and the known status of each backend server.

use super::*;

pub use self::{
  backend_record::{BackendRecord, BackendState},
  backend_report::BackendReport,
  endpoint::Endpoint,
  endpoint_state::EndpointState,
  endpoint_table::EndpointTable,
  heard::Heard,
  peer::Peer,
  process::Process,
  run_finding::{RunFinding, RunOutcome},
  service_endpoints::ServiceEndpoints,
};

mod backend_record;
mod backend_report;
mod endpoint;
mod endpoint_state;
mod endpoint_table;
mod heard;
mod peer;
mod process;
mod run_finding;
mod service_endpoints;
