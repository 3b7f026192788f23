//! Parsing and writing of HTTP/1.1 heads and bodies. Ambiguous messages are rejected, and the
//! result does not depend on how the bytes are split.

mod support;

use {
  bytes::{Bytes, BytesMut},
  ferryyoke::web::http1::{BodyDecoder, BodyEncoder, Decoded, Fault, RequestHead, ResponseHead},
  support::histories,
};

/// Runs of the randomised test.
const HISTORIES: u64 = 1_000;

const HEAD_MAX: usize = 1_024;

fn request(text: &str) -> Result<Option<RequestHead>, Fault> {
  RequestHead::take(&mut BytesMut::from(text), HEAD_MAX, 100)
}

fn rejection_status(text: &str) -> u16 {
  match request(text) {
    Err(fault) => fault.status().as_u16(),
    Ok(found) => panic!("{text:?} was accepted: {found:?}"),
  }
}

#[test]
fn ambiguous_heads_are_rejected() {
  let cases = [
    ("GET / HTTP/1.1\nhost: a\n\n", 400),
    ("GET / HTTP/1.1\r\nhost: a\nx: b\r\n\r\n", 400),
    ("GET / HTTP/1.1\r\n\r\n", 400),
    ("GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n", 400),
    ("GET / HTTP/1.1\r\nhost : a\r\n\r\n", 400),
    ("GET / HTTP/1.1\r\nhost: a\r\n folded\r\n\r\n", 400),
    ("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ncontent-length: 3\r\n\r\n", 400),
    ("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: +3\r\n\r\n", 400),
    ("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3, 3\r\n\r\n", 400),
    ("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n", 400),
    ("POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n", 400),
    ("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked, identity\r\n\r\n", 400),
    ("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip, chunked\r\n\r\n", 501),
    ("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 101\r\n\r\n", 413),
  ];
  for (text, status) in cases {
    assert_eq!(rejection_status(text), status, "{text:?}");
  }
  let long = format!("GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "a".repeat(HEAD_MAX));
  assert_eq!(rejection_status(&long), 431);
}

#[test]
fn a_head_is_taken_once_it_is_complete() {
  let text = "GET /a?b HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
  for end in 0..text.len() {
    assert!(matches!(request(&text[..end]), Ok(None)), "{end}");
  }
  let head = request(text).expect("valid").expect("complete");
  assert!(head.close && head.decoder.is_done());
  assert_eq!(head.parts.uri, "/a?b");
}

/// Decodes `bytes` in pieces of the given sizes. Returns the body, the number of bytes after it,
/// and whether it ended.
fn decode(
  mut decoder: BodyDecoder,
  bytes: &[u8],
  pieces: &[usize],
) -> Result<(Vec<u8>, usize, bool), Fault> {
  let mut buffer = BytesMut::new();
  let mut body = Vec::new();
  let mut fed = 0;
  let mut sizes = pieces.iter().copied().cycle();
  loop {
    match decoder.next(&mut buffer)? {
      Decoded::Data(data) => body.extend_from_slice(&data),
      Decoded::End => return Ok((body, bytes.len() - fed + buffer.len(), true)),
      Decoded::Incomplete if fed == bytes.len() => return Ok((body, 0, false)),
      Decoded::Incomplete => {
        let size = sizes.next().unwrap_or(1).max(1).min(bytes.len() - fed);
        buffer.extend_from_slice(&bytes[fed..fed + size]);
        fed += size;
      }
    }
  }
}

#[test]
fn a_decoded_body_equals_the_encoded_one_and_later_bytes_stay() {
  histories(HISTORIES, |u| {
    let parts: Vec<Vec<u8>> = u.arbitrary()?;
    let body: Vec<u8> = parts.concat();
    let mut out = BytesMut::new();
    let chunked = u.arbitrary()?;
    let mut encoder =
      if chunked { BodyEncoder::Chunked } else { BodyEncoder::Length(body.len() as u64) };
    for part in &parts {
      assert!(encoder.put(part, &mut out));
    }
    assert!(encoder.finish(&mut out));
    out.extend_from_slice(b"rest");
    let decoder =
      if chunked { BodyDecoder::chunked(u64::MAX) } else { BodyDecoder::length(body.len() as u64) };
    let pieces: Vec<usize> = vec![u.int_in_range(1..=9)?, u.int_in_range(1..=5)?];
    let (got, rest, whole) = decode(decoder, &out, &pieces).expect("valid");
    assert!(whole && got == body, "{got:?} of {body:?}");
    assert_eq!(rest, 4);
    Ok(())
  });
}

#[test]
fn malformed_chunks_are_rejected() {
  for text in ["3\nabc\r\n0\r\n\r\n", "3\r\nabcd\r\n", "x\r\n", "-1\r\n", " \r\n"] {
    let decoded = decode(BodyDecoder::chunked(u64::MAX), text.as_bytes(), &[1]);
    assert_eq!(decoded, Err(Fault::MalformedChunk), "{text:?}");
  }
  let large = decode(BodyDecoder::chunked(4), b"5\r\nabcde\r\n0\r\n\r\n", &[3]);
  assert_eq!(large, Err(Fault::BodyTooLarge));
  let long = format!("3;{}\r\nabc\r\n", "x".repeat(1_000));
  assert_eq!(decode(BodyDecoder::chunked(9), long.as_bytes(), &[100]), Err(Fault::MalformedChunk));
}

#[test]
fn trailers_are_skipped() {
  let decoded = decode(BodyDecoder::chunked(9), b"1\r\na\r\n0\r\nx: y\r\nz: w\r\n\r\nrest", &[2]);
  assert_eq!(decoded, Ok((b"a".to_vec(), 4, true)));
}

#[test]
fn a_body_does_not_exceed_its_length() {
  let mut out = BytesMut::new();
  let mut encoder = BodyEncoder::Length(2);
  assert!(!encoder.put(b"abc", &mut out));
  let mut short = BodyEncoder::Length(2);
  assert!(short.put(b"a", &mut out));
  assert!(!short.finish(&mut out));
}

#[test]
fn the_keep_alive_timeout_of_a_response_is_read() {
  let text = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nkeep-alive: max=3, timeout=7\r\n\r\nab";
  let mut bytes = BytesMut::from(text);
  let head = ResponseHead::take(&mut bytes, false).expect("valid").expect("complete");
  assert_eq!((head.keep_alive_s, head.close), (Some(7), false));
  assert_eq!(bytes, Bytes::from_static(b"ab"));
  let unframed = "HTTP/1.1 200 OK\r\n\r\n";
  let head =
    ResponseHead::take(&mut BytesMut::from(unframed), false).expect("valid").expect("complete");
  assert!(head.decoder.ends_with_connection());
}

/// The framing header of a received message is replaced when the message is sent on.
#[test]
fn framing_is_written_once() {
  let text = "POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
  let head = request(text).expect("valid").expect("complete");
  for (encoder, expected) in [
    (BodyEncoder::Chunked, "transfer-encoding: chunked"),
    (BodyEncoder::Length(3), "content-length: 3"),
  ] {
    let mut out = BytesMut::new();
    RequestHead::put(&head.parts, &encoder, &mut out);
    let written = String::from_utf8_lossy(&out).to_string();
    assert_eq!(written.matches("transfer-encoding").count() + written.matches("length").count(), 1);
    assert!(written.contains(expected), "{written}");
  }
}
