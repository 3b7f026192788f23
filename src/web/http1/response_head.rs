use super::*;

/// The head of a response.
#[derive(Debug)]
pub struct ResponseHead {
  /// Whether the sender closes the connection after the body.
  pub close: bool,
  /// How the body is framed.
  pub decoder: BodyDecoder,
  /// Seconds for which the sender keeps an idle connection, if given.
  pub keep_alive_s: Option<u64>,
  /// Status and header fields.
  pub parts: http::response::Parts,
}

impl ResponseHead {
  /// Largest head of a response in bytes.
  const BYTES_MAX: usize = 65_536;

  /// Takes a head from the front of `bytes`. Returns `None` if it is incomplete. `bodiless` tells
  /// that the request's method allows no response body.
  pub fn take(bytes: &mut BytesMut, bodiless: bool) -> Result<Option<Self>> {
    let Some(end) = headers::end_of_head(bytes, Self::BYTES_MAX)? else {
      return Ok(None);
    };
    let head = bytes.split_to(end);
    Self::read(&head, bodiless).map(Some)
  }

  fn read(head: &[u8], bodiless: bool) -> Result<Self> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
    let mut parsed = httparse::Response::new(&mut fields);
    if !matches!(parsed.parse(head), Ok(httparse::Status::Complete(_))) {
      return Err(Fault::MalformedHead("the head of the answer is malformed"));
    }
    let code = parsed.code.and_then(|code| StatusCode::from_u16(code).ok());
    let status = code.ok_or(Fault::MalformedHead("the status is malformed"))?;
    let headers = headers::take(parsed.headers)?;
    let chunked = headers::is_chunked(&headers)?;
    let length = headers::content_length(&headers)?;
    if chunked && length.is_some() {
      return Err(Fault::MalformedHead("Transfer-Encoding stands beside Content-Length"));
    }
    let no_body = bodiless
      || status.is_informational()
      || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let decoder = match length {
      _ if no_body => BodyDecoder::empty(),
      _ if chunked => BodyDecoder::chunked(u64::MAX),
      Some(length) => BodyDecoder::length(length),
      None => BodyDecoder::until_close(),
    };
    let is_new = parsed.version == Some(1);
    let connection = http::header::CONNECTION;
    let keeps = headers::has_token(&headers, connection.clone(), "keep-alive");
    let close = headers::has_token(&headers, connection, "close") || !(is_new || keeps);
    let keep_alive_s = keep_alive_s(&headers);
    let mut response = Response::new(());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    let (parts, ()) = response.into_parts();
    Ok(Self { close, decoder, keep_alive_s, parts })
  }

  /// Writes the head of a response whose body is framed by `encoder`.
  pub fn put(
    parts: &http::response::Parts,
    encoder: &BodyEncoder,
    close: bool,
    out: &mut BytesMut,
  ) {
    out.extend_from_slice(b"HTTP/1.1 ");
    out.extend_from_slice(parts.status.as_str().as_bytes());
    out.extend_from_slice(b" ");
    let reason = parts.status.canonical_reason().unwrap_or("Unknown");
    out.extend_from_slice(reason.as_bytes());
    out.extend_from_slice(b"\r\n");
    headers::put(&parts.headers, *encoder, out);
    if close && !parts.headers.contains_key(http::header::CONNECTION) {
      headers::put_field("connection", b"close", out);
    }
    let bodiless = matches!(parts.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    encoder.put_field(bodiless, out);
    out.extend_from_slice(b"\r\n");
  }
}

/// The `timeout` parameter of a `Keep-Alive` field, in seconds.
fn keep_alive_s(headers: &HeaderMap) -> Option<u64> {
  let value = headers.get("keep-alive")?.to_str().ok()?;
  let mut parameters = value.split(',').map(str::trim);
  parameters.find_map(|parameter| parameter.strip_prefix("timeout=")?.trim().parse().ok())
}
