//! Header fields of a parsed head.

use super::*;

/// Converts the header fields that the parser found.
pub(super) fn take(fields: &[httparse::Header]) -> Result<HeaderMap> {
  let mut headers = HeaderMap::with_capacity(fields.len());
  for field in fields {
    let name = HeaderName::from_bytes(field.name.as_bytes());
    let value = HeaderValue::from_bytes(field.value);
    match (name, value) {
      (Ok(name), Ok(value)) => headers.append(name, value),
      _ => return Err(Fault::MalformedHead("a header field is malformed")),
    };
  }
  Ok(headers)
}

/// Writes all fields except those of the framing, which the encoder writes. Keeps `Content-Length`
/// if no body follows, since it then gives the size that a `GET` would return.
pub(super) fn put(headers: &HeaderMap, encoder: BodyEncoder, out: &mut BytesMut) {
  for (name, value) in headers {
    let is_length = *name == http::header::CONTENT_LENGTH && encoder != BodyEncoder::Empty;
    if is_length || *name == http::header::TRANSFER_ENCODING {
      continue;
    }
    put_field(name.as_str(), value.as_bytes(), out);
  }
}

/// Writes one field.
pub(super) fn put_field(name: &str, value: &[u8], out: &mut BytesMut) {
  out.extend_from_slice(name.as_bytes());
  out.extend_from_slice(b": ");
  out.extend_from_slice(value);
  out.extend_from_slice(b"\r\n");
}

/// Whether a comma-separated field contains `token`.
pub(super) fn has_token(headers: &HeaderMap, name: HeaderName, token: &str) -> bool {
  let values = headers.get_all(name).into_iter().filter_map(|value| value.to_str().ok());
  values.flat_map(|value| value.split(',')).any(|found| found.trim().eq_ignore_ascii_case(token))
}

/// The value of `Content-Length`, if present.
pub(super) fn content_length(headers: &HeaderMap) -> Result<Option<u64>> {
  let mut found = None;
  for value in headers.get_all(http::header::CONTENT_LENGTH) {
    let text = value.to_str().unwrap_or_default();
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let length: u64 = is_number
      .then(|| text.parse().ok())
      .flatten()
      .ok_or(Fault::MalformedHead("Content-Length is not a whole number"))?;
    if found.is_some() {
      return Err(Fault::MalformedHead("Content-Length stands twice"));
    }
    found = Some(length);
  }
  Ok(found)
}

/// Whether the body is chunked. Rejects all other transfer codings.
pub(super) fn is_chunked(headers: &HeaderMap) -> Result<bool> {
  let mut codings = headers.get_all(http::header::TRANSFER_ENCODING).into_iter();
  let Some(coding) = codings.next() else {
    return Ok(false);
  };
  if coding.as_bytes().eq_ignore_ascii_case(b"chunked") && codings.next().is_none() {
    return Ok(true);
  }
  let last = headers.get_all(http::header::TRANSFER_ENCODING).into_iter().next_back();
  let last = last.and_then(|value| value.to_str().ok()).unwrap_or_default();
  let ends_chunked =
    last.rsplit(',').next().is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"));
  if ends_chunked {
    return Err(Fault::TransferCoding);
  }
  Err(Fault::MalformedHead("chunked is not the last transfer coding, so the body has no end"))
}

/// The length of the head in `bytes`, or `None` if it is incomplete. Lines must end with CR LF.
pub(super) fn end_of_head(bytes: &[u8], bytes_max: usize) -> Result<Option<usize>> {
  let end = bytes.windows(4).position(|window| window == b"\r\n\r\n").map(|at| at + 4);
  if end.unwrap_or(bytes.len()) > bytes_max {
    return Err(Fault::HeadTooLarge);
  }
  let head = &bytes[..end.unwrap_or(bytes.len())];
  let bare =
    head.iter().enumerate().any(|(at, byte)| *byte == b'\n' && (at == 0 || head[at - 1] != b'\r'));
  if bare {
    return Err(Fault::MalformedHead("a line of the head ends with a bare line feed"));
  }
  Ok(end)
}
