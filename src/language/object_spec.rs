use super::*;

/// An object and the fields that a `create` or `set` statement gives it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObjectSpec {
  /// The fields in the order given. The last value of a field counts.
  pub fields: Vec<Field>,
  /// The object.
  pub object: ObjectName,
}

impl ObjectSpec {
  pub(super) fn parse(cursor: &mut Cursor) -> Result<Self> {
    let kind = Kind::from_keyword(cursor.expect_one_of(&Kind::OBJECT_KEYWORDS)?);
    let object = kind.parse_name(cursor)?;
    Ok(Self { fields: Field::parse_all(kind, cursor)?, object })
  }

  /// Returns a new object with these fields, owned by `team` unless a field names another owner.
  pub fn create(&self, team: &Team) -> Result<Object> {
    match &self.object {
      ObjectName::Drain(name) => Ok(Object::Drain(name.clone(), Drain { owner: team.clone() })),
      ObjectName::Organisation(name) => {
        let defaults = Organisation {
          keys: BTreeSet::new(),
          owner: team.clone(),
          priority: None,
          rate_limit: None,
          regions: BTreeSet::new(),
        };
        Ok(self.apply_to(Object::Organisation(name.clone(), defaults)))
      }
      ObjectName::Policy(name) => {
        let defaults =
          Policy { attempts: 2, deadline_ms: 30_000, owner: team.clone(), queue_length: 24 };
        Ok(self.apply_to(Object::Policy(name.clone(), defaults)))
      }
      ObjectName::Route(name) => self.create_route(name, team),
      ObjectName::Service(name) => {
        let policy = self.fields.iter().find_map(|field| match field {
          Field::Policy(policy) => Some(policy.clone()),
          _ => None,
        });
        let policy = policy.ok_or_else(|| self.missing("policy"))?;
        Ok(self.apply_to(Object::Service(
          name.clone(),
          Service {
            cold_start: None,
            connections: None,
            health_path: None,
            owner: team.clone(),
            policy,
          },
        )))
      }
    }
  }

  fn create_route(&self, name: &RouteName, team: &Team) -> Result<Object> {
    let path_prefix = self.fields.iter().find_map(|field| match field {
      Field::PathPrefix(path) => Some(path.clone()),
      _ => None,
    });
    let service = self.fields.iter().find_map(|field| match field {
      Field::Service(service) => Some(service.clone()),
      _ => None,
    });
    let defaults = Route {
      handling: Handling::default(),
      headers: BTreeMap::new(),
      host: None,
      method: None,
      owner: team.clone(),
      path_prefix: path_prefix.ok_or_else(|| self.missing("path"))?,
      repeatable: true,
      service: service.ok_or_else(|| self.missing("service"))?,
    };
    Ok(self.apply_to(Object::Route(name.clone(), defaults)))
  }

  fn missing(&self, field: &'static str) -> Error {
    Error::FieldMissing { field, object: self.object.clone() }
  }

  /// Returns `object` with these fields set.
  pub fn apply_to(&self, mut object: Object) -> Object {
    for field in self.fields.iter().cloned() {
      match &mut object {
        Object::Drain(..) => {}
        Object::Organisation(_, organisation) => fill_organisation(organisation, field),
        Object::Policy(_, policy) => fill_policy(policy, field),
        Object::Route(_, route) => fill_route(route, field),
        Object::Service(_, service) => fill_service(service, field),
      }
    }
    object
  }
}

fn fill_organisation(organisation: &mut Organisation, field: Field) {
  let limit = organisation.rate_limit;
  match field {
    Field::Burst(burst) => {
      organisation.rate_limit = limit.map(|limit| RateLimit { burst, ..limit });
    }
    Field::KeyDigest(digest) => {
      organisation.keys.insert(digest);
    }
    Field::NoKeyDigest(digest) => {
      organisation.keys.remove(&digest);
    }
    Field::NoRegion(region) => {
      organisation.regions.remove(&region);
    }
    Field::Owner(team) => organisation.owner = team,
    Field::Priority(priority) => organisation.priority = priority,
    Field::Rate(rate) => {
      let burst = limit.map_or(0, |limit| limit.burst);
      let rate = rate.filter(|rate| !rate.is_zero());
      organisation.rate_limit = rate.map(|rate| RateLimit { burst, rate });
    }
    Field::Region(region) => {
      organisation.regions.insert(region);
    }
    _ => {}
  }
}

fn fill_policy(policy: &mut Policy, field: Field) {
  match field {
    Field::Attempts(attempts) => policy.attempts = attempts,
    Field::DeadlineMs(deadline_ms) => policy.deadline_ms = deadline_ms,
    Field::Owner(team) => policy.owner = team,
    Field::QueueLength(length) => policy.queue_length = length,
    _ => {}
  }
}

fn fill_route(route: &mut Route, field: Field) {
  match field {
    Field::Header(name, value) => {
      route.headers.insert(name, value);
    }
    Field::Host(host) => route.host = host,
    Field::Method(method) => route.method = method,
    Field::NoHeader(name) => {
      route.headers.remove(&name);
    }
    Field::Owner(team) => route.owner = team,
    Field::PathPrefix(path) => route.path_prefix = path,
    Field::Repeatable(repeatable) => route.repeatable = repeatable,
    Field::Service(service) => route.service = service,
    _ => {}
  }
}

fn fill_service(service: &mut Service, field: Field) {
  match field {
    Field::Owner(team) => service.owner = team,
    Field::Policy(policy) => service.policy = policy,
    _ => {}
  }
}

impl Display for ObjectSpec {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    self.object.fmt(f)?;
    self.fields.iter().try_for_each(|field| write!(f, " {field}"))
  }
}
