use super::*;

/// The body of a request on its way.
pub enum RequestBody {
  /// Held whole, so that it can be sent again.
  Held(Bytes),
  /// Passed through once. A try that ends before a byte of it was read gives it back.
  Streamed(Rc<RefCell<Option<Incoming>>>),
}

impl RequestBody {
  /// Bodies up to this size are held, so that a try that did not run can be made elsewhere.
  const HELD_BYTES_MAX: u64 = 65_536;

  /// Holds a small body of known size; lets any other stream.
  pub async fn take(body: Incoming) -> web::Result<Self> {
    let size = body.size_hint().exact();
    if size.is_none_or(|size| size > Self::HELD_BYTES_MAX) {
      return Ok(Self::stream(body));
    }
    Self::hold(body, usize::try_from(Self::HELD_BYTES_MAX).unwrap_or(usize::MAX)).await
  }

  /// Holds a body of at most `bytes_max` bytes.
  pub async fn hold(body: Incoming, bytes_max: usize) -> web::Result<Self> {
    Ok(Self::Held(web::collect(body, bytes_max).await?))
  }

  /// Lets a body stream.
  pub fn stream(body: Incoming) -> Self {
    Self::Streamed(Rc::new(RefCell::new(Some(body))))
  }

  /// The whole body, where it is held.
  pub fn held(&self) -> Option<&[u8]> {
    match self {
      Self::Held(bytes) => Some(bytes),
      Self::Streamed(_) => None,
    }
  }

  /// Whether the body can be sent now.
  pub fn is_left(&self) -> bool {
    match self {
      Self::Held(_) => true,
      Self::Streamed(body) => body.borrow().is_some(),
    }
  }

  /// The body for a try that runs beside others: held ones are shared, a streamed one goes to the
  /// first that takes it.
  pub fn for_attempt(&self) -> Self {
    match self {
      Self::Held(bytes) => Self::Held(bytes.clone()),
      Self::Streamed(body) => Self::Streamed(body.clone()),
    }
  }

  /// The body for one try; empty where it is gone.
  pub fn for_try(&self) -> AnyBody {
    match self {
      Self::Held(bytes) => web::full(bytes.clone()),
      Self::Streamed(body) => LentBody::of(body).map_or_else(web::empty, AnyBody::streamed),
    }
  }

  /// Bytes of the body, as far as known.
  pub fn known_bytes(&self) -> u64 {
    match self {
      Self::Held(bytes) => bytes.len() as u64,
      Self::Streamed(body) => {
        let exact = body.borrow().as_ref().and_then(|body| body.size_hint().exact());
        exact.unwrap_or(Self::HELD_BYTES_MAX)
      }
    }
  }

  /// The size of a body that streams, as far as it is told; nothing where there is none to stream.
  pub fn streamed_size(&self) -> Option<http_body::SizeHint> {
    let Self::Streamed(body) = self else {
      return None;
    };
    let body = body.borrow();
    let body = body.as_ref().filter(|body| !body.is_end_stream())?;
    Some(body.size_hint())
  }
}
