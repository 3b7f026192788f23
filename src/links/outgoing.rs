use super::*;

/// The sending direction of a link.
pub struct Outgoing {
  pub(super) authenticator: FrameAuthenticator,
  pub(super) sink: futures_util::stream::SplitSink<Socket, Frame>,
}

impl Outgoing {
  /// Sends a message. Returns its size on the wire in bytes.
  pub async fn send(&mut self, message: &Message) -> Result<usize> {
    let frame = self.authenticator.seal(&encode(message));
    let bytes = frame.len();
    self.sink.send(Frame::binary(frame)).await?;
    Ok(bytes)
  }

  /// Closes the link.
  pub async fn close(&mut self) {
    self.sink.close().await.ok();
  }
}
