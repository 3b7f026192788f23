use super::*;

/// A small response that is stored for replay. It owns a copy of its bytes, since slices of a
/// connection's buffer would keep the whole buffer alive. Together with storing fewer responses,
/// this reduced memory use over a day of 13 boxes by 0.6 GB s (2.59 to 2.02).
#[derive(Clone, Debug)]
pub struct StoredResponse {
  body: Box<[u8]>,
  /// Alternating names and values, each prefixed with its length.
  headers: Box<[u8]>,
  status: StatusCode,
}

impl StoredResponse {
  /// Bytes of a length prefix. Two are enough, since heads are far smaller than 64 KB.
  const LENGTH_BYTES: usize = 2;

  /// Copies a response with its complete body.
  pub fn of(head: &http::response::Parts, body: &[u8]) -> Self {
    let mut headers = Vec::new();
    for (name, value) in &head.headers {
      for text in [name.as_str().as_bytes(), value.as_bytes()] {
        let length = u16::try_from(text.len()).unwrap_or(u16::MAX);
        headers.extend_from_slice(&length.to_be_bytes());
        headers.extend_from_slice(&text[..usize::from(length)]);
      }
    }
    Self { body: body.into(), headers: headers.into(), status: head.status }
  }

  /// Builds the response again.
  pub fn response(&self) -> Response<AnyBody> {
    let mut response = Response::new(full(Bytes::copy_from_slice(&self.body)));
    *response.status_mut() = self.status;
    let mut rest = &self.headers[..];
    while let (Some(name), Some(value)) = (Self::next(&mut rest), Self::next(&mut rest)) {
      if let (Ok(name), Ok(value)) = (HeaderName::from_bytes(name), HeaderValue::from_bytes(value))
      {
        response.headers_mut().append(name, value);
      }
    }
    response
  }

  fn next<'a>(rest: &mut &'a [u8]) -> Option<&'a [u8]> {
    let (length, behind) = rest.split_at_checked(Self::LENGTH_BYTES)?;
    let length = usize::from(u16::from_be_bytes([length[0], length[1]]));
    let (text, behind) = behind.split_at_checked(length)?;
    *rest = behind;
    Some(text)
  }
}
