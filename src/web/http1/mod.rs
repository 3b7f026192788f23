//! HTTP/1.1 messages: heads and bodies, in and out. Pure; connections move the bytes.
//!
//! Heads are parsed by `httparse`. What RFC 9112 leaves to a recipient is decided strictly here, for
//! two readings of one message are how requests are smuggled.

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

/// Header fields that a head may have.
const FIELDS_MAX: usize = 100;

/// Result of reading a part of a message.
pub type Result<T = (), E = Fault> = std::result::Result<T, E>;
