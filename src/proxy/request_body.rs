use super::*;

/// The body of a request on its way.
pub enum RequestBody {
  /// Held whole, so that it can be sent again.
  Held(Bytes),
  /// Passed through once; gone after that.
  Streamed(Option<Incoming>),
}

impl RequestBody {
  /// Bodies up to this size are held, so that a try that did not run can be made elsewhere.
  const HELD_BYTES_MAX: u64 = 65_536;

  /// Holds a small body of known size; lets any other stream.
  pub async fn take(body: Incoming) -> web::Result<Self> {
    let size = body.size_hint().exact();
    if size.is_none_or(|size| size > Self::HELD_BYTES_MAX) {
      return Ok(Self::Streamed(Some(body)));
    }
    Self::hold(body, usize::try_from(Self::HELD_BYTES_MAX).unwrap_or(usize::MAX)).await
  }

  /// Holds a body of at most `bytes_max` bytes.
  pub async fn hold(body: Incoming, bytes_max: usize) -> web::Result<Self> {
    Ok(Self::Held(web::collect(body, bytes_max).await?))
  }

  /// Whether the body can be sent now.
  pub fn is_left(&self) -> bool {
    matches!(self, Self::Held(_) | Self::Streamed(Some(_)))
  }

  /// The body for a try that runs beside others: held ones are shared, a streamed one goes to the
  /// first that takes it.
  pub fn for_attempt(&mut self) -> Self {
    match self {
      Self::Held(bytes) => Self::Held(bytes.clone()),
      Self::Streamed(body) => Self::Streamed(body.take()),
    }
  }

  /// The body for one try; empty where it is gone.
  pub fn for_try(&mut self) -> AnyBody {
    match self {
      Self::Held(bytes) => web::full(bytes.clone()),
      Self::Streamed(body) => body.take().map_or_else(web::empty, AnyBody::streamed),
    }
  }
}
