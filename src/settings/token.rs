use super::*;

/// A token of the administration API. Only its digest is stored.
#[derive(Clone, Debug)]
pub struct Token {
  /// The digest of the token's text.
  pub digest: Digest,
  /// The operator who uses the token.
  pub operator: Operator,
  /// The permissions of the operator.
  pub role: Role,
  /// The team of the operator.
  pub team: Team,
}

impl Token {
  pub(super) fn read(node: &Node) -> Option<Self> {
    node.object(&["digest", "operator", "role", "team"]);
    let digest = node.field("digest").text("the BLAKE3 digest of the token, in hexadecimal");
    let operator = node.field("operator").text("a name");
    let role = node.field("role").text("administrator, editor or reader");
    let team = node.field("team").text("a name");
    Some(Self { digest: digest?, operator: operator?, role: role?, team: team? })
  }
}
