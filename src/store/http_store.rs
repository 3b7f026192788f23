use super::*;

/// A client of the store that sends JSON over HTTP, with a connection pool.
pub struct HttpStore {
  address: SocketAddr,
  pool: Rc<web::Pool>,
  timeout_ms: u64,
}

impl HttpStore {
  /// Creates a client of the store at `address`. Calls time out after `timeout_ms` milliseconds,
  /// plus the time that a watch waits.
  pub fn new(address: SocketAddr, timeout_ms: u64) -> Self {
    Self { address, pool: Rc::new(web::Pool::new(timeout_ms)), timeout_ms }
  }

  async fn exchange(
    pool: Rc<web::Pool>,
    address: SocketAddr,
    request: StoreRequest,
  ) -> Result<Reply> {
    let text = to_json(&request);
    let post = Request::post("/v1/call")
      .header(http::header::HOST, address.to_string())
      .header(http::header::CONTENT_TYPE, "application/json")
      .body(web::full(text))
      .expect("the request head is valid");
    let (status, body) = pool.exchange(address, post, 4 * VALUE_BYTES_MAX).await?;
    let malformed = |err| Error::Unknown { reason: format!("malformed reply: {err}") };
    if status == StatusCode::OK {
      return serde_json::from_slice(&body).map_err(malformed);
    }
    if status.is_client_error() {
      let refusal: Refusal = serde_json::from_slice(&body).map_err(malformed)?;
      return Err(refusal.into());
    }
    Err(Error::Unknown { reason: format!("status {status}") })
  }
}

impl Store for HttpStore {
  fn call(&self, request: StoreRequest) -> LocalFuture<Result<Reply>> {
    let wait_ms = self.timeout_ms + request.wait_ms();
    let exchange = Self::exchange(self.pool.clone(), self.address, request);
    Box::pin(async move {
      let limited = timer::timeout(Duration::from_millis(wait_ms), exchange);
      limited
        .await
        .unwrap_or_else(|_| Err(Error::Unknown { reason: format!("no reply within {wait_ms} ms") }))
    })
  }
}

impl From<web::Error> for Error {
  fn from(err: web::Error) -> Self {
    match err {
      web::Error::NoRoom { .. } | web::Error::Unreachable { .. } | web::Error::Unsent { .. } => {
        Refusal::Unreachable { reason: err.to_string() }.into()
      }
      web::Error::Broken { .. }
      | web::Error::TimedOut { .. }
      | web::Error::Malformed(_)
      | web::Error::TooLarge { .. } => Self::Unknown { reason: err.to_string() },
    }
  }
}
