use super::*;

/// The authenticated user of the administration API.
#[derive(Clone, Debug)]
pub struct Principal {
  /// The operator's name.
  pub operator: Operator,
  /// The role, which decides what is allowed.
  pub role: Role,
  /// The operator's team.
  pub team: Team,
}

impl Principal {
  /// Identifies the user by the bearer token in `headers`; fails with `Unauthorized` if it is
  /// missing or unknown. Without tokens in the settings, the API listens on loopback only and every
  /// user of the box is an administrator.
  pub fn authenticate(shared: &Shared, headers: &HeaderMap) -> Result<Self> {
    let tokens = &shared.settings.tokens;
    if tokens.is_empty() {
      return Ok(Self::local());
    }
    let value = headers.get(http::header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let text = value.and_then(|value| value.strip_prefix("Bearer ")).ok_or(Error::Unauthorized)?;
    let given = Digest::of(text.as_bytes());
    // Compares every token, so that the response time does not reveal which one matches.
    let mut found = None;
    for token in tokens {
      let digest = token.digest.as_bytes();
      if bool::from(subtle::ConstantTimeEq::ct_eq(digest, given.as_bytes())) {
        found = Some(token);
      }
    }
    let token = found.ok_or(Error::Unauthorized)?;
    Ok(Self { operator: token.operator.clone(), role: token.role, team: token.team.clone() })
  }

  fn local() -> Self {
    Self {
      operator: "local".parse().expect("a name"),
      role: Role::Administrator,
      team: "operators".parse().expect("a name"),
    }
  }

  /// Fails with `Forbidden` unless the role includes `needed`. The error names the action `what`.
  pub fn check(&self, needed: Role, what: &str) -> Result {
    let allowed = match needed {
      Role::Administrator => self.role == Role::Administrator,
      Role::Editor => self.role != Role::Reader,
      Role::Reader => true,
    };
    if allowed {
      return Ok(());
    }
    Err(language::Error::Forbidden { what: what.into() }.into())
  }

  /// Returns the user as the author of a change.
  pub fn author(&self) -> Author {
    Author {
      is_administrator: self.role == Role::Administrator,
      operator: self.operator.clone(),
      team: self.team.clone(),
    }
  }
}
