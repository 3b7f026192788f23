//! Load generation from several threads, each with its own connection.

use super::*;

pub use self::{connection::Connection, generator::Generator, load_result::LoadResult};

mod connection;
mod generator;
mod load_result;
