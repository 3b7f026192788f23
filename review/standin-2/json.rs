//! A small JSON reader, enough for what daemons send to the store.

use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub enum Value {
  Null,
  Bool,
  Number(f64),
  Text(String),
  List(Vec<Value>),
  Object(BTreeMap<String, Value>),
}

impl Value {
  pub fn parse(text: &str) -> Option<Self> {
    let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
    reader.value()
  }

  pub fn get(&self, name: &str) -> &Value {
    match self {
      Self::Object(fields) => fields.get(name).unwrap_or(&Self::Null),
      _ => &Self::Null,
    }
  }

  pub fn text(&self) -> &str {
    if let Self::Text(text) = self { text } else { "" }
  }

  pub fn number(&self) -> u64 {
    if let Self::Number(number) = self { *number as u64 } else { 0 }
  }

  pub fn list(&self) -> &[Value] {
    if let Self::List(items) = self { items } else { &[] }
  }
}

struct Reader<'a> {
  bytes: &'a [u8],
  at: usize,
}

impl Reader<'_> {
  fn skip(&mut self) {
    while self.at < self.bytes.len() && self.bytes[self.at].is_ascii_whitespace() {
      self.at += 1;
    }
  }

  fn peek(&mut self) -> Option<u8> {
    self.skip();
    self.bytes.get(self.at).copied()
  }

  fn take(&mut self, byte: u8) -> Option<()> {
    (self.peek()? == byte).then(|| self.at += 1)
  }

  fn word(&mut self, word: &str, value: Value) -> Option<Value> {
    self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
      self.at += word.len();
      value
    })
  }

  fn value(&mut self) -> Option<Value> {
    match self.peek()? {
      b'{' => self.object(),
      b'[' => self.items(),
      b'"' => self.string().map(Value::Text),
      b't' => self.word("true", Value::Bool),
      b'f' => self.word("false", Value::Bool),
      b'n' => self.word("null", Value::Null),
      _ => self.figure(),
    }
  }

  fn figure(&mut self) -> Option<Value> {
    let start = self.at;
    while self.at < self.bytes.len() && b"+-.eE0123456789".contains(&self.bytes[self.at]) {
      self.at += 1;
    }
    let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
    text.parse().ok().map(Value::Number)
  }

  fn items(&mut self) -> Option<Value> {
    self.take(b'[')?;
    let mut items = Vec::new();
    while self.peek()? != b']' {
      items.push(self.value()?);
      if self.peek()? == b',' {
        self.at += 1;
      }
    }
    self.at += 1;
    Some(Value::List(items))
  }

  fn object(&mut self) -> Option<Value> {
    self.take(b'{')?;
    let mut fields = BTreeMap::new();
    while self.peek()? != b'}' {
      let name = self.string()?;
      self.take(b':')?;
      fields.insert(name, self.value()?);
      if self.peek()? == b',' {
        self.at += 1;
      }
    }
    self.at += 1;
    Some(Value::Object(fields))
  }

  fn string(&mut self) -> Option<String> {
    self.take(b'"')?;
    let mut out = Vec::new();
    loop {
      let byte = *self.bytes.get(self.at)?;
      self.at += 1;
      match byte {
        b'"' => return String::from_utf8(out).ok(),
        b'\\' => {
          let escaped = *self.bytes.get(self.at)?;
          self.at += 1;
          match escaped {
            b'n' => out.push(b'\n'),
            b't' => out.push(b'\t'),
            b'r' => out.push(b'\r'),
            b'u' => {
              let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
              let code = u32::from_str_radix(digits, 16).ok()?;
              self.at += 4;
              let mut buffer = [0; 4];
              out.extend(char::from_u32(code)?.encode_utf8(&mut buffer).bytes());
            }
            other => out.push(other),
          }
        }
        other => out.push(other),
      }
    }
  }
}

/// Writes a text as JSON.
pub fn quoted(text: &str) -> String {
  let mut out = String::from("\"");
  for sign in text.chars() {
    match sign {
      '"' | '\\' => out.extend(['\\', sign]),
      sign if (sign as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", sign as u32)),
      sign => out.push(sign),
    }
  }
  out + "\""
}

/// Encodes bytes in standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
  const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  let mut out = String::new();
  for three in bytes.chunks(3) {
    let all = u32::from(three[0]) << 16
      | u32::from(*three.get(1).unwrap_or(&0)) << 8
      | u32::from(*three.get(2).unwrap_or(&0));
    for index in 0..4 {
      if index <= three.len() {
        out.push(SIGNS[(all >> (18 - 6 * index) & 63) as usize] as char);
      } else {
        out.push('=');
      }
    }
  }
  out
}
