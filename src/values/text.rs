//! Macros that define newtypes of names and numbers. Names are checked and cheap to clone.

/// Maximum length of a name in bytes.
pub(crate) const NAME_LENGTH_MAX: usize = 63;

/// Returns whether `text` is a valid name.
pub(crate) fn is_name(text: &str) -> bool {
  let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
  !text.is_empty() && text.len() <= NAME_LENGTH_MAX && text.chars().all(allowed)
}

macro_rules! name {
  ($(#[$doc:meta])* $type:ident, $kind:literal) => {
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
        if !crate::values::text::is_name(text) {
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

pub(crate) use {name, number};
