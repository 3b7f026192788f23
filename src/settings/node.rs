use super::*;

use serde_json::Value;

/// A place in the settings that reads its value. All places of a file collect their faults in one
/// list.
#[derive(Clone, Copy)]
pub(super) struct Node<'a> {
  faults: &'a RefCell<Vec<Fault>>,
  path: Path<'a>,
  value: Option<&'a Value>,
}

#[derive(Clone, Copy)]
enum Path<'a> {
  Field(&'a Node<'a>, &'a str),
  Index(&'a Node<'a>, usize),
  Root,
}

impl Display for Path<'_> {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Field(parent, name) => write!(f, "{}.{name}", parent.path),
      Self::Index(parent, index) => write!(f, "{}[{index}]", parent.path),
      Self::Root => f.write_str("$"),
    }
  }
}

impl<'a> Node<'a> {
  pub(super) fn root(value: &'a Value, faults: &'a RefCell<Vec<Fault>>) -> Self {
    Self { faults, path: Path::Root, value: Some(value) }
  }

  /// Records a fault at this place.
  pub(super) fn fault(&self, allowed: impl Into<String>) {
    let found = match self.value {
      None => "nothing".into(),
      Some(Value::Array(_)) => "a list".into(),
      Some(Value::Object(_)) => "an object".into(),
      Some(other) => other.to_string().chars().take(80).collect(),
    };
    self.fault_found(found, allowed);
  }

  /// Records a fault at this place, with `found` in place of the value.
  pub(super) fn fault_found(&self, found: String, allowed: impl Into<String>) {
    let fault = Fault { allowed: allowed.into(), found, path: self.path.to_string() };
    self.faults.borrow_mut().push(fault);
  }

  /// Whether the place exists.
  pub(super) fn is_present(&self) -> bool {
    self.value.is_some()
  }

  /// Whether the value is a string.
  pub(super) fn is_text(&self) -> bool {
    self.value.is_some_and(Value::is_string)
  }

  /// Checks that the value is an object without keys other than `known`.
  pub(super) fn object(&'a self, known: &[&str]) {
    match self.value {
      Some(Value::Object(object)) => {
        for key in object.keys().filter(|key| !known.contains(&key.as_str())) {
          let place = Self { path: Path::Field(self, key), ..*self };
          place.fault_found("an unknown key".into(), format!("one of {}", known.join(", ")));
        }
      }
      _ => self.fault(format!("an object with {}", known.join(", "))),
    }
  }

  /// The place under a key.
  pub(super) fn field(&'a self, name: &'a str) -> Self {
    let value = self.value.and_then(|value| value.get(name));
    Self { path: Path::Field(self, name), value, ..*self }
  }

  /// The places of the items of a list. Empty if the list is absent.
  pub(super) fn items(&'a self) -> Vec<Self> {
    match self.value {
      None => Vec::new(),
      Some(Value::Array(values)) => {
        let item =
          |(index, value)| Self { path: Path::Index(self, index), value: Some(value), ..*self };
        values.iter().enumerate().map(item).collect()
      }
      Some(_) => {
        self.fault("a list");
        Vec::new()
      }
    }
  }

  /// A value that is parsed from a string.
  pub(super) fn text<T: FromStr>(&self, allowed: &str) -> Option<T> {
    let parsed = self.value.and_then(Value::as_str).and_then(|text| text.parse().ok());
    if parsed.is_none() {
      self.fault(allowed);
    }
    parsed
  }

  /// A value that is parsed from a string, or `default` if absent.
  pub(super) fn text_or<T: FromStr>(&self, default: T, allowed: &str) -> Option<T> {
    if self.is_present() { self.text(allowed) } else { Some(default) }
  }

  /// A whole number from `from` to `to`.
  pub(super) fn number(&self, from: u64, to: u64) -> Option<u64> {
    let number = self.value.and_then(Value::as_u64).filter(|number| (from..=to).contains(number));
    if number.is_none() {
      self.fault(format!("a whole number from {from} to {to}"));
    }
    number
  }

  /// A whole number from `from` to `to`, or `default` if absent.
  pub(super) fn number_or(&self, default: u64, from: u64, to: u64) -> Option<u64> {
    if self.is_present() { self.number(from, to) } else { Some(default) }
  }

  /// A duration such as `1500ms` or `1.5s`, in milliseconds.
  pub(super) fn duration_ms(&self) -> Option<u64> {
    self.text("a duration such as \"1500ms\" or \"1.5s\"").map(|duration: DurationMs| duration.0)
  }

  /// A number from 0 to `to`, rounded down.
  pub(super) fn whole_part(&self, to: u32) -> Option<u64> {
    let is_allowed = |number: &f64| (0.0..=f64::from(to)).contains(number);
    let number = self.value.and_then(Value::as_f64).filter(is_allowed);
    if number.is_none() {
      self.fault(format!("a number from 0 to {to}"));
    }
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = number.map(|number| number as u64);
    whole
  }

  /// A number above 0.
  pub(super) fn positive(&self) -> Option<f64> {
    let number = self.value.and_then(Value::as_f64).filter(|number| *number > 0.0);
    if number.is_none() {
      self.fault("a number above 0");
    }
    number
  }

  /// A number from 0 to 1.
  pub(super) fn ratio(&self) -> Option<f64> {
    let ratio = self.value.and_then(Value::as_f64).filter(|ratio| (0.0..=1.0).contains(ratio));
    if ratio.is_none() {
      self.fault("a number from 0 to 1");
    }
    ratio
  }

  /// An IP address with a port other than 0.
  pub(super) fn address(&self) -> Option<SocketAddr> {
    const ALLOWED: &str = "an IP number and a port from 1 to 65535, such as \"127.0.0.1:7000\"";
    let address: SocketAddr = self.text(ALLOWED)?;
    if address.port() == 0 {
      self.fault(ALLOWED);
      return None;
    }
    Some(address)
  }
}
