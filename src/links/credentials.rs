use super::*;

use self::{handshake::HandshakeContext, incoming::next_frame};

/// What a daemon authenticates itself with on links.
#[derive(Clone, Debug)]
pub struct Credentials {
  /// The box of the daemon.
  pub box_id: BoxId,
  /// The fleet's secret.
  pub key: FleetKey,
}

/// An open link: the box of the peer, and both directions.
type OpenLink = (BoxId, Outgoing, IncomingFrames);

impl Credentials {
  /// Opens a link to the daemon at `address`. `nonce` must be random.
  pub async fn dial(&self, address: SocketAddr, nonce: u128) -> Result<OpenLink> {
    let stream = TcpStream::connect_addr(address).await?;
    stream.set_nodelay(true)?;
    let stream = FairStream::new(stream)?;
    let url = format!("ws://{address}/link");
    let config = Some(socket_config(MESSAGE_BYTES_MAX));
    let (mut socket, _) = tokio_tungstenite::client_async_with_config(url, stream, config).await?;
    let challenge: Challenge = decode(&next_frame(&mut socket).await?)?;
    check_protocol(challenge.protocol)?;
    let context = HandshakeContext {
      acceptor_nonce: challenge.nonce,
      dialer: &self.box_id,
      dialer_nonce: nonce,
      key: &self.key,
    };
    let hello = Hello {
      box_id: self.box_id.clone(),
      nonce,
      proof: context.proof("caller", &self.box_id),
      protocol: PROTOCOL,
    };
    socket.send(Frame::binary(encode(&hello))).await?;
    let confirmation: Confirmation = decode(&next_frame(&mut socket).await?)?;
    context.check("called", &confirmation.box_id, &confirmation.proof)?;
    Ok(split(confirmation.box_id, socket, &context, ["to called", "to caller"]))
  }

  /// Accepts a link from another daemon. `nonce` must be random.
  pub async fn accept(&self, stream: TcpStream, nonce: u128) -> Result<OpenLink> {
    let stream = FairStream::new(stream)?;
    let config = Some(socket_config(HANDSHAKE_BYTES_MAX));
    let mut socket = tokio_tungstenite::accept_async_with_config(stream, config).await?;
    let challenge = Challenge { nonce, protocol: PROTOCOL };
    socket.send(Frame::binary(encode(&challenge))).await?;
    let hello: Hello = decode(&next_frame(&mut socket).await?)?;
    check_protocol(hello.protocol)?;
    let context = HandshakeContext {
      acceptor_nonce: nonce,
      dialer: &hello.box_id,
      dialer_nonce: hello.nonce,
      key: &self.key,
    };
    context.check("caller", &hello.box_id, &hello.proof)?;
    // The dialer sends no more before it is confirmed, so no bytes are lost with the former buffer.
    let config = Some(socket_config(MESSAGE_BYTES_MAX));
    let mut socket =
      WebSocketStream::from_raw_socket(socket.into_inner(), Role::Server, config).await;
    let confirmation =
      Confirmation { box_id: self.box_id.clone(), proof: context.proof("called", &self.box_id) };
    socket.send(Frame::binary(encode(&confirmation))).await?;
    Ok(split(hello.box_id.clone(), socket, &context, ["to caller", "to called"]))
  }
}

fn check_protocol(found: u32) -> Result {
  if found == PROTOCOL { Ok(()) } else { Err(Error::Protocol { found }) }
}

fn split(
  peer: BoxId,
  socket: Socket,
  context: &HandshakeContext,
  [outward, inward]: [&str; 2],
) -> OpenLink {
  let (sink, stream) = socket.split();
  let outgoing = Outgoing { authenticator: FrameAuthenticator::new(context.derive(outward)), sink };
  let incoming =
    IncomingFrames { authenticator: FrameAuthenticator::new(context.derive(inward)), stream };
  (peer, outgoing, incoming)
}
