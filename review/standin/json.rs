//! A small JSON reader and writer: enough for the store's calls and the configuration.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
  Null,
  Bool(bool),
  Number(f64),
  Text(String),
  List(Vec<Json>),
  Map(BTreeMap<String, Json>),
}

impl Json {
  pub fn parse(text: &str) -> Option<Json> {
    let bytes = text.as_bytes();
    let mut at = 0;
    let value = value(bytes, &mut at)?;
    Some(value)
  }

  pub fn get(&self, name: &str) -> &Json {
    match self {
      Json::Map(map) => map.get(name).unwrap_or(&Json::Null),
      _ => &Json::Null,
    }
  }

  pub fn text(&self) -> &str {
    match self {
      Json::Text(text) => text,
      _ => "",
    }
  }

  pub fn number(&self) -> u64 {
    match self {
      Json::Number(number) => *number as u64,
      _ => 0,
    }
  }

  pub fn list(&self) -> &[Json] {
    match self {
      Json::List(list) => list,
      _ => &[],
    }
  }
}

fn skip(bytes: &[u8], at: &mut usize) {
  while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
    *at += 1;
  }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
  skip(bytes, at);
  match *bytes.get(*at)? {
    b'{' => {
      *at += 1;
      let mut map = BTreeMap::new();
      loop {
        skip(bytes, at);
        match *bytes.get(*at)? {
          b'}' => {
            *at += 1;
            return Some(Json::Map(map));
          }
          b',' => *at += 1,
          _ => {
            let name = string(bytes, at)?;
            skip(bytes, at);
            if *bytes.get(*at)? != b':' {
              return None;
            }
            *at += 1;
            map.insert(name, value(bytes, at)?);
          }
        }
      }
    }
    b'[' => {
      *at += 1;
      let mut list = Vec::new();
      loop {
        skip(bytes, at);
        match *bytes.get(*at)? {
          b']' => {
            *at += 1;
            return Some(Json::List(list));
          }
          b',' => *at += 1,
          _ => list.push(value(bytes, at)?),
        }
      }
    }
    b'"' => string(bytes, at).map(Json::Text),
    b't' => {
      *at += 4;
      Some(Json::Bool(true))
    }
    b'f' => {
      *at += 5;
      Some(Json::Bool(false))
    }
    b'n' => {
      *at += 4;
      Some(Json::Null)
    }
    _ => {
      let start = *at;
      while *at < bytes.len() && b"+-.eE0123456789".contains(&bytes[*at]) {
        *at += 1;
      }
      std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Json::Number)
    }
  }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
  if *bytes.get(*at)? != b'"' {
    return None;
  }
  *at += 1;
  let mut out = Vec::new();
  loop {
    let byte = *bytes.get(*at)?;
    *at += 1;
    match byte {
      b'"' => return String::from_utf8(out).ok(),
      b'\\' => {
        let escaped = *bytes.get(*at)?;
        *at += 1;
        match escaped {
          b'n' => out.push(b'\n'),
          b't' => out.push(b'\t'),
          b'r' => out.push(b'\r'),
          b'b' => out.push(8),
          b'f' => out.push(12),
          b'u' => {
            let code = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
            let code = u32::from_str_radix(code, 16).ok()?;
            *at += 4;
            let mut buffer = [0; 4];
            let found = char::from_u32(code).unwrap_or('?');
            out.extend_from_slice(found.encode_utf8(&mut buffer).as_bytes());
          }
          other => out.push(other),
        }
      }
      other => out.push(other),
    }
  }
}

/// Quotes a text.
pub fn quote(text: &str) -> String {
  let mut out = String::from("\"");
  for c in text.chars() {
    match c {
      '"' => out.push_str("\\\""),
      '\\' => out.push_str("\\\\"),
      '\n' => out.push_str("\\n"),
      c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
      c => out.push(c),
    }
  }
  out.push('"');
  out
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
  let mut out = String::new();
  for chunk in bytes.chunks(3) {
    let mut word = [0u8; 3];
    word[..chunk.len()].copy_from_slice(chunk);
    let bits = (u32::from(word[0]) << 16) | (u32::from(word[1]) << 8) | u32::from(word[2]);
    for place in 0..4 {
      if place <= chunk.len() {
        out.push(ALPHABET[(bits >> (18 - 6 * place)) as usize & 63] as char);
      } else {
        out.push('=');
      }
    }
  }
  out
}
