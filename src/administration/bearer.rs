use super::*;

/// Who speaks to the administration API.
#[derive(Clone, Debug)]
pub struct Bearer {
  /// The bearer.
  pub operator: Operator,
  /// What the bearer may do.
  pub role: Role,
  /// The bearer's team.
  pub team: Team,
}

impl Bearer {
  /// Finds the bearer of the token in `headers`. Where the settings name no tokens, administration
  /// is on loopback only and whoever is on the box may do everything.
  pub fn of(shared: &Shared, headers: &HeaderMap) -> Result<Self> {
    let tokens = &shared.settings.tokens;
    if tokens.is_empty() {
      return Ok(Self::local());
    }
    let value = headers.get(http::header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let text = value.and_then(|value| value.strip_prefix("Bearer ")).ok_or(Error::Unauthorized)?;
    let given = Digest::of(text.as_bytes());
    // Every token is compared, so that the time tells nothing.
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

  /// Refuses what the role does not allow.
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

  /// The bearer as the author of a change.
  pub fn author(&self) -> Author {
    Author {
      is_administrator: self.role == Role::Administrator,
      operator: self.operator.clone(),
      team: self.team.clone(),
    }
  }
}
