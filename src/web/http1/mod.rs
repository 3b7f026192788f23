//! Parsing and writing of HTTP/1.1 heads and bodies, without I/O.
//!
//! `httparse` parses the heads. Where RFC 9112 leaves a choice to the recipient, this module
//! rejects the message: request smuggling relies on messages that two recipients read differently.

use super::*;

pub use self::{
  body_decoder::{BodyDecoder, Decoded},
  body_encoder::BodyEncoder,
  fault::Fault,
  request_head::RequestHead,
  response_head::ResponseHead,
};

mod body_decoder;
mod body_encoder;
mod fault;
mod headers;
mod request_head;
mod response_head;

/// Most header fields of a head.
const FIELDS_MAX: usize = 100;

/// Result of reading a part of a message.
pub type Result<T = (), E = Fault> = std::result::Result<T, E>;
