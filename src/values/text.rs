//! Macros that define newtypes of names and numbers, all cheap to clone.
//!
//! `name!` is for names that this program issues or asks for; their characters are limited, so that
//! they can stand anywhere. `given_name!` is for names that a platform, its operators or a backend
//! server choose; they may hold any text, and [`GivenName`](super::GivenName) encodes them where
//! the place doesn't take any text.

use super::*;

/// Maximum length in bytes of a name with limited characters.
pub(crate) const NAME_LENGTH_MAX: usize = 63;

/// Returns whether `text` may be a name with limited characters.
pub(crate) fn is_name(text: &str) -> bool {
  !text.is_empty() && text.len() <= NAME_LENGTH_MAX && text.bytes().all(is_plain)
}

/// Returns whether `text` may be a name that contains encoded given names.
pub(crate) fn is_encoded_name(text: &str) -> bool {
  let is_allowed = |byte| is_plain(byte) || byte == b'%';
  !text.is_empty() && text.len() <= NAME_LENGTH_MAX && text.bytes().all(is_allowed)
}

/// Returns whether the byte stands for itself in a name with limited characters.
pub(super) fn is_plain(byte: u8) -> bool {
  byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.')
}

/// Returns whether `text` is a word of a script without quotes, and fit for a line of a log.
fn is_bare(text: &str) -> bool {
  let is_bare = |c: char| !c.is_whitespace() && !matches!(c, ';' | '"' | '{' | '}' | '\\');
  !text.is_empty() && text.chars().all(is_bare) && !text.chars().any(is_hidden)
}

/// Returns whether a terminal doesn't print the character as a sign of its own: a control
/// character, an unusual space, or one that changes the direction of the text.
pub(crate) fn is_hidden(c: char) -> bool {
  // Marks that combine with the character before them are escaped, but printed.
  !matches!(c, '"' | '\'' | '\\') && c.escape_debug().len() > 1 && !is_mark(c)
}

/// Returns whether the character is a mark that combines with the one before it.
fn is_mark(c: char) -> bool {
  // The second character of a text is escaped only if it isn't printed at all.
  let pair = String::from_iter(['a', c]);
  pair.escape_debug().count() == 2
}

/// Returns `text` as a word of a script, in quotes if necessary. No character of it is hidden.
pub(crate) fn quoted(text: &str) -> Cow<'_, str> {
  if is_bare(text) {
    return Cow::Borrowed(text);
  }
  let mut quoted = String::from('"');
  for c in text.chars() {
    match c {
      '"' | '\\' => quoted.extend(['\\', c]),
      _ if is_hidden(c) => quoted.extend(c.escape_unicode()),
      _ => quoted.push(c),
    }
  }
  quoted.push('"');
  Cow::Owned(quoted)
}

/// Returns `text` with its hidden characters escaped.
pub(crate) fn visible(text: &str) -> Cow<'_, str> {
  if !text.chars().any(is_hidden) {
    return Cow::Borrowed(text);
  }
  let mut shown = String::new();
  for c in text.chars() {
    if is_hidden(c) { shown.extend(c.escape_unicode()) } else { shown.push(c) }
  }
  Cow::Owned(shown)
}

macro_rules! name {
  ($(#[$doc:meta])* $type:ident, $kind:literal) => {
    $crate::values::text::name!($(#[$doc])* $type, $kind, $crate::values::text::is_name);
  };
  ($(#[$doc:meta])* $type:ident, $kind:literal, $is_valid:path) => {
    $(#[$doc])*
    #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
    #[serde(try_from = "String", into = "String")]
    pub struct $type(Arc<str>);

    impl $type {
      /// Returns the name as text.
      pub fn as_str(&self) -> &str {
        &self.0
      }
    }

    impl Display for $type {
      fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.pad(&self.0)
      }
    }

    impl FromStr for $type {
      type Err = crate::values::Error;

      fn from_str(text: &str) -> crate::values::Result<Self> {
        if !$is_valid(text) {
          return Err(crate::values::Error::Name {
            found: text.chars().take(80).collect(),
            kind: $kind,
          });
        }
        Ok(Self(text.into()))
      }
    }

    impl From<$type> for String {
      fn from(name: $type) -> Self {
        name.0.as_ref().into()
      }
    }

    impl TryFrom<String> for $type {
      type Error = crate::values::Error;

      fn try_from(text: String) -> crate::values::Result<Self> {
        text.parse()
      }
    }
  };
}

macro_rules! given_name {
  ($(#[$doc:meta])* $type:ident, $kind:literal) => {
    $(#[$doc])*
    #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
    #[serde(from = "String", into = "String")]
    pub struct $type(Arc<str>);

    impl $type {
      /// Returns the name as it was given.
      pub fn as_str(&self) -> &str {
        &self.0
      }
    }

    impl Display for $type {
      /// Writes the name as a word of a script, in quotes if necessary.
      fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.pad(&$crate::values::text::quoted(&self.0))
      }
    }

    impl FromStr for $type {
      type Err = crate::values::Error;

      /// Takes any text but an empty one, which is rather a missing name.
      fn from_str(text: &str) -> crate::values::Result<Self> {
        if text.is_empty() {
          return Err(crate::values::Error::Empty { kind: $kind });
        }
        Ok(Self(text.into()))
      }
    }

    impl From<&str> for $type {
      fn from(text: &str) -> Self {
        Self(text.into())
      }
    }

    impl From<String> for $type {
      fn from(text: String) -> Self {
        Self(text.into())
      }
    }

    impl From<$type> for String {
      fn from(name: $type) -> Self {
        name.0.as_ref().into()
      }
    }

    impl $crate::values::GivenName for $type {
      fn text(&self) -> &str {
        &self.0
      }
    }
  };
}

macro_rules! number {
  ($(#[$doc:meta])* $type:ident, $kind:literal) => {
    $(#[$doc])*
    #[derive(
      Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
    )]
    #[serde(transparent)]
    pub struct $type(pub u64);

    impl $type {
      /// Returns the number after this one.
      #[must_use]
      pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
      }
    }

    impl Display for $type {
      fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        self.0.fmt(f)
      }
    }

    impl FromStr for $type {
      type Err = crate::values::Error;

      fn from_str(text: &str) -> crate::values::Result<Self> {
        let number = text.parse().map_err(|_| crate::values::Error::Number {
          found: text.chars().take(80).collect(),
          kind: $kind,
        })?;
        Ok(Self(number))
      }
    }
  };
}

pub(crate) use {given_name, name, number};
