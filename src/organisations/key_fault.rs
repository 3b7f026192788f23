use super::*;

/// Why a request can't be assigned to an organisation although keys are required.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyFault {
  /// The request carries no key.
  Missing,
  /// No organisation holds the request's key.
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
