//! Load on one address, from threads with connections of their own.

use super::*;

pub use self::{connection::Connection, generator::Generator, load_result::LoadResult};

mod connection;
mod generator;
mod load_result;
