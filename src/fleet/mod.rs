//! The fleet: boxes, their data halls, and the known status of each backend server.

use super::*;

pub use self::{
  backend_record::{BackendRecord, BackendState},
  backend_report::BackendReport,
  endpoint::Endpoint,
  endpoint_state::EndpointState,
  endpoint_table::EndpointTable,
  peer::Peer,
  process::Process,
  report_outcome::ReportOutcome,
  run_finding::{RunFinding, RunOutcome},
  service_endpoints::ServiceEndpoints,
};

mod backend_record;
mod backend_report;
mod endpoint;
mod endpoint_state;
mod endpoint_table;
mod peer;
mod process;
mod report_outcome;
mod run_finding;
mod service_endpoints;
