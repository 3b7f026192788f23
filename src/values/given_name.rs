use super::*;

/// A name that a platform, its operators or a backend server choose. It may hold any text.
///
/// Each place that doesn't take any text has an encoding here, in which different names differ and
/// a name of ASCII letters, digits, `-`, `_` and `.` stands for itself.
pub trait GivenName: for<'a> From<&'a str> {
  /// Returns the name as it was given.
  fn text(&self) -> &str;

  /// Returns the name percent-encoded, for a header between daemons or a part of a key.
  fn encoded(&self) -> Cow<'_, str> {
    let text = self.text();
    if text.is_empty() {
      return Cow::Borrowed(EMPTY);
    }
    if text.bytes().all(text::is_plain) {
      return Cow::Borrowed(text);
    }
    let mut encoded = String::with_capacity(3 * text.len());
    for byte in text.bytes() {
      if text::is_plain(byte) {
        encoded.push(char::from(byte));
      } else {
        write!(encoded, "%{byte:02X}").expect("a string takes any text");
      }
    }
    Cow::Owned(encoded)
  }

  /// Returns the name of which `encoded` is the encoding; `None` if it isn't one.
  fn decoded(encoded: &str) -> Option<Self> {
    let text = if encoded == EMPTY { String::new() } else { percent_decoded(encoded)? };
    let name = Self::from(text.as_str());
    (name.encoded() == encoded).then_some(name)
  }

  /// Returns the encoded name in at most [`text::NAME_LENGTH_MAX`] characters. Of a longer name it
  /// holds the first characters and a digest, so that it can be compared, but not decoded.
  fn short(&self) -> Cow<'_, str> {
    let encoded = self.encoded();
    if encoded.len() <= text::NAME_LENGTH_MAX {
      return encoded;
    }
    let digest = Digest::of(self.text().as_bytes()).to_string();
    let start = encoded[..text::NAME_LENGTH_MAX - DIGEST_LENGTH - 2].trim_end_matches('%');
    Cow::Owned(format!("{start}%.{}", &digest[..DIGEST_LENGTH]))
  }

  /// Returns the name for a header that callers or backend servers read: as it was given where a
  /// header can hold that, otherwise percent-encoded.
  fn header_value(&self) -> HeaderValue {
    let text = self.text();
    let is_whole = !text.is_empty() && text.trim_matches([' ', '\t']) == text;
    let given = is_whole.then(|| HeaderValue::from_bytes(text.as_bytes()).ok()).flatten();
    given.unwrap_or_else(|| HeaderValue::from_str(&self.encoded()).expect("ASCII without controls"))
  }
}

/// The encoding of an empty name, which encodes no other one.
const EMPTY: &str = "%";

/// Hexadecimal digits of the digest in a shortened name.
const DIGEST_LENGTH: usize = 24;

/// Decodes percent-encoded text. Returns `None` if an escape is incomplete or the bytes aren't UTF-8.
pub(crate) fn percent_decoded(encoded: &str) -> Option<String> {
  let mut bytes = Vec::with_capacity(encoded.len());
  let mut rest = encoded.as_bytes();
  while let Some((first, after)) = rest.split_first() {
    if *first == b'%' {
      let (digits, after) = after.split_at_checked(2)?;
      let digits = std::str::from_utf8(digits).ok()?;
      let is_hexadecimal = digits.bytes().all(|digit| digit.is_ascii_hexdigit());
      bytes.push(u8::from_str_radix(digits, 16).ok().filter(|_| is_hexadecimal)?);
      rest = after;
    } else {
      bytes.push(*first);
      rest = after;
    }
  }
  String::from_utf8(bytes).ok()
}
