use super::*;

/// The receiving direction of a link.
pub struct Incoming {
  pub(super) authenticator: FrameAuthenticator,
  pub(super) stream: futures_util::stream::SplitStream<Socket>,
}

impl Incoming {
  /// Receives a message. Returns it with its size on the wire in bytes. An error ends the link.
  pub async fn receive(&mut self) -> Result<(Message, usize)> {
    let frame = next_frame(&mut self.stream).await?;
    let payload = self.authenticator.open(&frame)?;
    Ok((decode(payload)?, frame.len()))
  }
}

/// Waits for the next binary frame.
pub(super) async fn next_frame(
  stream: &mut (impl futures_util::Stream<Item = SocketResult> + Unpin),
) -> Result<Bytes> {
  loop {
    match stream.next().await {
      Some(Ok(Frame::Binary(bytes))) => return Ok(bytes),
      Some(Ok(Frame::Ping(_) | Frame::Pong(_))) => {}
      Some(Ok(Frame::Close(_))) | None => {
        return Err(Error::Broken { reason: "the peer closed it".into() });
      }
      Some(Ok(_)) => return Err(Error::Malformed { reason: "not a binary frame".into() }),
      Some(Err(err)) => return Err(err.into()),
    }
  }
}

type SocketResult = std::result::Result<Frame, tokio_tungstenite::tungstenite::Error>;
