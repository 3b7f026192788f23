//! Links between daemons: WebSocket connections that carry authenticated CBOR messages.
//!
//! Both sides prove that they have the fleet key before any message is accepted. Every frame
//! carries a message authentication code (MAC) over its content and sequence number, under a key
//! that is unique to the link and direction. A forged, replayed, reordered or truncated frame ends
//! the link.

use super::*;

use crate::{distribution::Message, net::FairStream, settings::FleetKey};

pub use self::{
  credentials::Credentials, error::Error, frame_authenticator::FrameAuthenticator,
  incoming::Incoming as IncomingFrames, outgoing::Outgoing,
};

use {
  self::handshake::{Challenge, Confirmation, Hello},
  tokio_tungstenite::{
    WebSocketStream,
    tungstenite::{
      Message as Frame,
      protocol::{Role, WebSocketConfig},
    },
  },
};

mod credentials;
mod error;
mod frame_authenticator;
mod handshake;
mod incoming;
mod outgoing;

/// The version of the link protocol. Peers of other versions are refused.
pub const PROTOCOL: u32 = 3;

/// Largest message in bytes. A snapshot of the largest configuration fits with some margin.
pub const MESSAGE_BYTES_MAX: usize = 4 << 20;

/// Largest message in bytes of a peer that has not proved yet that it is of the fleet.
pub const HANDSHAKE_BYTES_MAX: usize = 4_096;

/// Result of an operation on a link.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;

type Socket = WebSocketStream<FairStream>;

fn encode(value: &impl Serialize) -> Vec<u8> {
  let mut bytes = Vec::new();
  ciborium::into_writer(value, &mut bytes).expect("writing to memory does not fail");
  bytes
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
  ciborium::from_reader(bytes).map_err(|err| Error::Malformed { reason: err.to_string() })
}

/// Size of the read buffer of a link in bytes. Most messages are heartbeats of some hundred bytes,
/// and a daemon has many links and little memory.
const READ_BYTES: usize = 4_096;

fn socket_config(message_bytes_max: usize) -> WebSocketConfig {
  WebSocketConfig::default()
    .read_buffer_size(READ_BYTES)
    .max_message_size(Some(message_bytes_max))
    .max_frame_size(Some(message_bytes_max))
}
