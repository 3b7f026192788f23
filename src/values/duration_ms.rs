use super::*;

/// A duration in milliseconds, written as `1500ms` or `1.5s`.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct DurationMs(pub u64);

impl Display for DurationMs {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(f, "{}ms", self.0)
  }
}

impl FromStr for DurationMs {
  type Err = Error;

  fn from_str(text: &str) -> Result<Self> {
    let (digits, factor) = match text.strip_suffix("ms") {
      Some(digits) => (digits, 1.0),
      None => (text.strip_suffix('s').unwrap_or_default(), 1_000.0),
    };
    let number: Option<f64> = digits.parse().ok().filter(|number| (0.0..1e12).contains(number));
    let Some(number) = number else {
      let found = text.chars().take(80).collect();
      return Err(Error::Number { found, kind: "duration such as `1500ms` or `1.5s`" });
    };
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    Ok(Self((number * factor).round() as u64))
  }
}
