use super::*;

/// The body of a request that is being forwarded.
pub enum RequestBody {
  /// Buffered, so that it can be sent again.
  Buffered(Bytes),
  /// Streamed, so that it can be sent only once. A try that ends before it read any of it returns
  /// it.
  Streamed(Rc<RefCell<Option<Incoming>>>),
}

impl RequestBody {
  /// Largest body in bytes that is buffered, so that a try that did not run can be repeated at
  /// another box.
  const BUFFERED_BYTES_MAX: u64 = 65_536;

  /// Buffers a small body; streams any other once as much of it has come as can be buffered. So a body that stops short
  /// of that takes no slot of a backend server.
  pub async fn take(body: Incoming) -> web::Result<Self> {
    let is_small = body.size_hint().exact().is_some_and(|size| size <= Self::BUFFERED_BYTES_MAX);
    if is_small {
      let bytes_max = usize::try_from(Self::BUFFERED_BYTES_MAX).unwrap_or(usize::MAX);
      return Self::buffer(body, bytes_max).await;
    }
    let whole = body.filled().await?;
    Ok(whole.map_or_else(|| Self::stream(body), Self::Buffered))
  }

  /// Buffers a body. Fails if it is larger than `bytes_max` bytes or its connection fails.
  pub async fn buffer(body: Incoming, bytes_max: usize) -> web::Result<Self> {
    Ok(Self::Buffered(body.whole(bytes_max).await?))
  }

  /// Streams a body.
  pub fn stream(body: Incoming) -> Self {
    Self::Streamed(Rc::new(RefCell::new(Some(body))))
  }

  /// Returns the body if it is buffered.
  pub fn buffered(&self) -> Option<&[u8]> {
    match self {
      Self::Buffered(bytes) => Some(bytes),
      Self::Streamed(_) => None,
    }
  }

  /// Returns whether the body can be sent now.
  pub fn is_available(&self) -> bool {
    match self {
      Self::Buffered(_) => true,
      Self::Streamed(body) => body.borrow().is_some(),
    }
  }

  /// Returns a handle for a try: all tries share a buffered body, and the first one to take it gets a
  /// streamed body.
  pub fn share(&self) -> Self {
    match self {
      Self::Buffered(bytes) => Self::Buffered(bytes.clone()),
      Self::Streamed(body) => Self::Streamed(body.clone()),
    }
  }

  /// Returns the body for one try. Fails if another try has taken a streamed body: the request must
  /// not be sent without it.
  pub fn for_try(&self) -> std::result::Result<AnyBody, AttemptOutcome> {
    match self {
      Self::Buffered(bytes) => Ok(web::full(bytes.clone())),
      Self::Streamed(body) => ReturnableBody::of(body)
        .map(AnyBody::streamed)
        .ok_or_else(|| AttemptOutcome::not_run("its body went to another try", 0)),
    }
  }

  /// Returns the size of the body in bytes; a streamed body of unknown size counts as the buffering
  /// limit.
  pub fn known_bytes(&self) -> u64 {
    match self {
      Self::Buffered(bytes) => bytes.len() as u64,
      Self::Streamed(body) => {
        let exact = body.borrow().as_ref().and_then(|body| body.size_hint().exact());
        exact.unwrap_or(Self::BUFFERED_BYTES_MAX)
      }
    }
  }

  /// Returns the size of a streamed body, as far as known, or `None` if there is nothing to stream.
  pub fn streamed_size(&self) -> Option<http_body::SizeHint> {
    let Self::Streamed(body) = self else {
      return None;
    };
    let body = body.borrow();
    let body = body.as_ref().filter(|body| !body.is_end_stream())?;
    Some(body.size_hint())
  }
}
