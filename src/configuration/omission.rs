use super::*;

/// An item of a source's configuration that cannot be read. It is left out, and the others are in
/// force.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Omission {
  /// The host of an omitted route, if that can be read.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub host: Option<String>,
  /// Kind and name of the item, or kind and place in its list.
  pub item: String,
  /// The path prefix of an omitted route, if that can be read. Requests under it go to no route with
  /// a shorter prefix.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub path_prefix: Option<String>,
  /// Why it cannot be read.
  pub reason: String,
}

impl Omission {
  /// Longest reason in characters, as a reason may quote the item.
  const REASON_LENGTH_MAX: usize = 200;

  /// Creates the omission of an item.
  pub fn new(item: impl Display, reason: impl Display) -> Self {
    let reason = text::visible(&reason.to_string()).chars().take(Self::REASON_LENGTH_MAX).collect();
    Self { host: None, item: item.to_string(), path_prefix: None, reason }
  }

  /// Returns whether it is a route that would match the request.
  pub fn matches(&self, host: Option<&str>, path: &str) -> bool {
    let is_for = |prefix: &String| route::is_path_under(path, prefix);
    self.host.is_some()
      && self.host.as_deref() == host
      && self.path_prefix.as_ref().is_some_and(is_for)
  }
}

impl Display for Omission {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(f, "{} is left out, as it cannot be read: {}", self.item, self.reason)
  }
}
