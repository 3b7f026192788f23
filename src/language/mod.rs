//! The operators' language: statements that change the configuration or query the mesh.
//!
//! `docs/operators/language.md` has the grammar.

use super::*;

use crate::{
  configuration::{
    Configuration, Drain, Handling, Object, ObjectName, Operation, Organisation, Policy, RateLimit,
    Route, Service,
  },
  telemetry::LogLevel,
};

pub use self::{
  document::Document,
  error::Error,
  field::Field,
  kind::Kind,
  object_spec::ObjectSpec,
  plan::{Author, Plan},
  question::Question,
  script::Script,
  statement::Statement,
};

use self::{cursor::Cursor, word::Word};

mod cursor;
mod document;
mod error;
mod field;
mod kind;
mod nearest;
mod object_spec;
mod plan;
mod question;
mod script;
mod statement;
mod word;

/// Result of parsing or planning statements.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;

/// Size limit of a script in bytes; a whole configuration fits.
pub const SCRIPT_BYTES_MAX: usize = 1_200_000;

/// Limit on statements in a script.
pub const STATEMENTS_MAX: usize = 2_000;
