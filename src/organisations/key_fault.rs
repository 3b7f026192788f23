use super::*;

/// Why a request proves no organisation where it must.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyFault {
  /// It carries no key.
  Missing,
  /// No organisation holds its key.
  Unknown,
}

impl Display for KeyFault {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.pad(match self {
      Self::Missing => "the request carries no key: give `Authorization: Bearer KEY`",
      Self::Unknown => "no organisation holds the key of the request",
    })
  }
}
