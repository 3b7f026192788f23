//! The administration API of a node: statements, health checks and metrics over HTTP.

use super::*;

use crate::{
  configuration::{Change, ChangeSummary, Configuration, Head, Object, ObjectName, Route},
  distribution::{
    Acceptance, AcceptanceStep, Archive, Event, Outcome, Question as FleetQuestion, Report, keys,
  },
  fleet::Endpoint,
  language::{Author, Document, Kind, Plan, Question, Script, Statement},
  node::{Node, Shared},
  requests::{RequestRecord, Suspect},
  settings::Role,
  store::{Entry, Reply, StoreRequest},
  web::{AnyBody, Incoming},
};

pub use self::{
  answer::Answer, answer_outcome::AnswerOutcome, error::Error, principal::Principal, serve::serve,
  statement_request::StatementRequest, table::Table,
};

mod answer;
mod answer_outcome;
mod changes;
mod error;
mod principal;
mod questions;
mod serve;
mod statement_request;
mod stored_versions;
mod table;
mod why;

/// Result of an administration call.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;
