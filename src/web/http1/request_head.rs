use super::*;

/// The head of a request.
#[derive(Debug)]
pub struct RequestHead {
  /// Whether the sender wants the connection closed after the response.
  pub close: bool,
  /// How the body is framed.
  pub decoder: BodyDecoder,
  /// Whether the sender waits for `100 Continue` before it sends the body.
  pub expects_continue: bool,
  /// Whether the sender supports chunked encoding.
  pub supports_chunked: bool,
  /// Method, target and header fields.
  pub parts: http::request::Parts,
}

impl RequestHead {
  /// Takes a head of at most `bytes_max` bytes from the front of `bytes`. Returns `None` if it is
  /// incomplete. `body_max` is the size of the largest accepted body in bytes.
  pub fn take(bytes: &mut BytesMut, bytes_max: usize, body_max: u64) -> Result<Option<Self>> {
    while bytes.starts_with(b"\r\n") {
      bytes.advance(2);
    }
    let Some(end) = headers::end_of_head(bytes, bytes_max)? else {
      return Ok(None);
    };
    let head = bytes.split_to(end);
    Self::read(&head, body_max).map(Some)
  }

  fn read(head: &[u8], body_max: u64) -> Result<Self> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
    let mut parsed = httparse::Request::new(&mut fields);
    match parsed.parse(head) {
      Ok(httparse::Status::Complete(_)) => {}
      Ok(httparse::Status::Partial) => return Err(Fault::MalformedHead("the head is cut off")),
      Err(httparse::Error::TooManyHeaders) => return Err(Fault::HeadTooLarge),
      Err(_) => return Err(Fault::MalformedHead("the head is malformed")),
    }
    let headers = headers::take(parsed.headers)?;
    let supports_chunked = parsed.version == Some(1);
    let chunked = headers::is_chunked(&headers)?;
    let length = headers::content_length(&headers)?;
    if chunked && (length.is_some() || !supports_chunked) {
      return Err(Fault::MalformedHead(
        "Transfer-Encoding stands beside Content-Length or in HTTP/1.0",
      ));
    }
    check_host(&headers, supports_chunked)?;
    if length.is_some_and(|length| length > body_max) {
      return Err(Fault::BodyTooLarge);
    }
    let decoder = match length {
      _ if chunked => BodyDecoder::chunked(body_max),
      Some(length) => BodyDecoder::length(length),
      None => BodyDecoder::empty(),
    };
    let mut request = Request::new(());
    *request.method_mut() = parsed
      .method
      .and_then(|method| method.parse().ok())
      .ok_or(Fault::MalformedHead("the method is malformed"))?;
    *request.uri_mut() = parsed
      .path
      .and_then(|path| path.parse().ok())
      .ok_or(Fault::MalformedHead("the target is malformed"))?;
    *request.headers_mut() = headers;
    let (parts, ()) = request.into_parts();
    let connection = http::header::CONNECTION;
    let keeps = headers::has_token(&parts.headers, connection.clone(), "keep-alive");
    let close =
      headers::has_token(&parts.headers, connection, "close") || !(supports_chunked || keeps);
    let expects_continue = headers::has_token(&parts.headers, http::header::EXPECT, "100-continue");
    Ok(Self { close, decoder, expects_continue, supports_chunked, parts })
  }

  /// Writes the head of a request whose body is framed by `encoder`.
  pub fn put(parts: &http::request::Parts, encoder: &BodyEncoder, out: &mut BytesMut) {
    out.extend_from_slice(parts.method.as_str().as_bytes());
    out.extend_from_slice(b" ");
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    out.extend_from_slice(target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    headers::put(&parts.headers, *encoder, out);
    let bodiless = matches!(parts.method, Method::GET | Method::HEAD | Method::DELETE);
    encoder.put_field(bodiless, out);
    out.extend_from_slice(b"\r\n");
  }
}

fn check_host(headers: &HeaderMap, is_required: bool) -> Result {
  let mut hosts = headers.get_all(http::header::HOST).into_iter();
  match (hosts.next(), hosts.next()) {
    (None, _) if is_required => Err(Fault::MalformedHead("Host is missing")),
    (_, Some(_)) => Err(Fault::MalformedHead("Host stands twice")),
    _ => Ok(()),
  }
}
