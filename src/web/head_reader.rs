use super::*;

use super::{
  http1::{BodyDecoder, Decoded, ResponseHead},
  socket::Socket,
};

/// Finds the head of the response to one request among the bytes of a connection. Skips interim responses, and
/// complete responses to other requests.
pub(super) struct HeadReader<'a> {
  bodiless: bool,
  correlation: Option<&'a CorrelationHeader>,
  interim: u32,
  /// The rest of a response to another request that is being skipped.
  skipped: Option<BodyDecoder>,
  skipped_bytes: usize,
  stray: u32,
}

/// The result of looking for a response head in the bytes read so far.
pub(super) enum HeadProgress {
  /// The server sent `100 Continue`.
  Continue,
  /// The complete head.
  Head(ResponseHead),
  /// More bytes are needed.
  Incomplete,
}

impl<'a> HeadReader<'a> {
  /// Interim responses that are skipped before the connection counts as broken.
  const INTERIM_MAX: u32 = 16;

  /// Bytes of responses to other requests that are skipped before the connection counts as broken. A late answer is far
  /// smaller; one that is larger may have no end.
  const SKIPPED_BYTES_MAX: usize = 4 << 20;

  /// Responses to other requests that are skipped before the connection counts as broken.
  const STRAY_MAX: u32 = 2;

  /// A reader of the response that `correlation` names, if given. `bodiless` tells that the request's method allows no
  /// response body.
  pub(super) fn new(bodiless: bool, correlation: Option<&'a CorrelationHeader>) -> Self {
    Self { bodiless, correlation, interim: 0, skipped: None, skipped_bytes: 0, stray: 0 }
  }

  /// Takes the head of the response from the bytes read, once it is complete.
  pub(super) fn next(&mut self, socket: &mut Socket) -> Result<HeadProgress> {
    loop {
      if !self.skip(&mut socket.inbound)? {
        return Ok(HeadProgress::Incomplete);
      }
      let Some(head) = ResponseHead::take(&mut socket.inbound, self.bodiless)? else {
        return if self.stray > Self::STRAY_MAX {
          Err(broken("answers to other requests came"))
        } else {
          Ok(HeadProgress::Incomplete)
        };
      };
      if head.parts.status.is_informational() {
        self.interim += 1;
        if self.interim > Self::INTERIM_MAX {
          return Err(broken("interim answers came, and no answer"));
        }
        if head.parts.status == StatusCode::CONTINUE {
          return Ok(HeadProgress::Continue);
        }
        continue;
      }
      match self.correlation.map(|wanted| (wanted, head.parts.headers.get(&wanted.name))) {
        Some((_, None)) => return Err(broken("the answer does not name its request")),
        Some((wanted, Some(found))) if wanted.value != *found => {
          self.stray += 1;
          self.skipped = Some(head.decoder);
        }
        _ => return Ok(HeadProgress::Head(head)),
      }
    }
  }

  /// Discards what there is of a response to another request. Returns whether nothing of it is left to come.
  fn skip(&mut self, bytes: &mut BytesMut) -> Result<bool> {
    let Some(decoder) = &mut self.skipped else {
      return Ok(true);
    };
    let before = bytes.len();
    while let Decoded::Data(_) = decoder.next(bytes)? {}
    self.skipped_bytes += before - bytes.len();
    if self.skipped_bytes > Self::SKIPPED_BYTES_MAX {
      return Err(broken("an answer to another request has no end"));
    }
    let is_done = decoder.is_done();
    if is_done {
      self.skipped = None;
    }
    Ok(is_done)
  }
}

/// The error of a connection that can carry no more exchanges.
pub(super) fn broken(reason: &str) -> Error {
  Error::Broken { reason: reason.into() }
}
