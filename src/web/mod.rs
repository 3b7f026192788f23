//! HTTP/1.1 client and server on monoio: bodies, a client connection pool, and a server loop.

use super::*;

pub use crate::net::Listener;

pub use self::{
  any_body::AnyBody,
  body_limits::BodyLimits,
  client::{Client, CorrelationHeader, ResponseBody},
  client_location::ClientLocation,
  connections::{
    ConnectionLimits, ConnectionTable, Eviction, OpenConnection, Opening, PeerKind, Phase,
    ReservedBytes, SharedConnections,
  },
  error::Error,
  incoming::Incoming,
  pool::Pool,
  server::{Server, ServerOptions},
  server_limits::ServerLimits,
  stored_response::StoredResponse,
};

use self::{
  server_connection::{Handler, ServerConnection},
  socket::Socket,
};

mod any_body;
mod body_limits;
mod client;
mod client_location;
pub mod connections;
mod error;
mod head_reader;
pub mod http1;
mod incoming;
mod pool;
mod server;
mod server_connection;
mod server_limits;
mod socket;
mod stored_response;

/// Result of an HTTP exchange.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;

/// Error of a message body.
pub type BodyError = Box<dyn StdError + Send + Sync>;

/// Returns an empty body.
pub fn empty() -> AnyBody {
  full(Bytes::new())
}

/// Returns a body that consists of `bytes`.
pub fn full(bytes: impl Into<Bytes>) -> AnyBody {
  AnyBody::held(bytes.into())
}

/// Reads a complete body of at most `bytes_max` bytes into one piece, as many small ones take several times their bytes.
pub async fn collect<B>(body: B, bytes_max: usize) -> Result<Bytes>
where
  B: Body<Data = Bytes>,
  B::Error: Into<BodyError>,
{
  let mut body = std::pin::pin!(body);
  let mut collected = BytesMut::new();
  while let Some(frame) = body.frame().await {
    let data = frame.map_err(|err| body_error(err.into()))?.into_data().unwrap_or_default();
    if collected.len() + data.len() > bytes_max {
      return Err(Error::TooLarge { bytes_max });
    }
    collected.extend_from_slice(&data);
  }
  Ok(collected.freeze())
}

fn body_error(err: BodyError) -> Error {
  match err.downcast::<Error>() {
    Ok(err) => *err,
    Err(err) => Error::Broken { reason: err.to_string() },
  }
}

/// Reads a complete body within `limits`. Adds the bytes read to `bytes_read`, also if the body is
/// given up. A body whose declared size is too large is not read at all, since its bytes would
/// delay others on a narrow link.
pub async fn collect_within_limits<B>(
  body: B,
  limits: BodyLimits,
  bytes_read: &Cell<usize>,
) -> Result<Bytes>
where
  B: Body<Data = Bytes>,
  B::Error: Into<Error>,
{
  let BodyLimits { bytes_max, idle_timeout_ms, total_timeout_ms } = limits;
  let too_large = Error::TooLarge { bytes_max };
  if body.size_hint().lower() > bytes_max as u64 {
    return Err(too_large);
  }
  let mut body = std::pin::pin!(body);
  let mut collected = BytesMut::new();
  let reading = async {
    loop {
      let idle_timeout = Duration::from_millis(idle_timeout_ms);
      let Ok(frame) = timer::timeout(idle_timeout, body.frame()).await else {
        return Err(Error::TimedOut { reason: format!("no byte came for {idle_timeout_ms} ms") });
      };
      let Some(frame) = frame else {
        return Ok(());
      };
      let data = frame.map_err(Into::into)?.into_data().unwrap_or_default();
      bytes_read.set(bytes_read.get() + data.len());
      if bytes_read.get() > bytes_max {
        return Err(too_large);
      }
      collected.extend_from_slice(&data);
    }
  };
  let read = timer::timeout(Duration::from_millis(total_timeout_ms), reading).await;
  read.unwrap_or_else(|_| {
    Err(Error::TimedOut { reason: format!("the body was not whole after {total_timeout_ms} ms") })
  })?;
  Ok(collected.freeze())
}

/// Returns a JSON response.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<AnyBody> {
  let text = to_json(value);
  let mut response = Response::new(full(text));
  *response.status_mut() = status;
  let json = HeaderValue::from_static("application/json");
  response.headers_mut().insert(http::header::CONTENT_TYPE, json);
  response
}

/// Returns a plain-text response.
pub fn text(status: StatusCode, text: impl Into<String>) -> Response<AnyBody> {
  let mut response = Response::new(full(text.into()));
  *response.status_mut() = status;
  let plain = HeaderValue::from_static("text/plain; charset=utf-8");
  response.headers_mut().insert(http::header::CONTENT_TYPE, plain);
  response
}
