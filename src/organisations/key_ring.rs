use super::*;

/// The keys of all organisations in one version of the configuration.
///
/// A key is found by its digest, so how long that takes tells nothing of the keys that are held.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
  /// Whether there are organisations, also where none of them holds a key any more.
  is_needed: bool,
  members: BTreeMap<KeyDigest, Rc<Member>>,
}

/// What is known of the organisation of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
  /// The organisation.
  pub organisation: OrganisationName,
  /// The rank of its requests, where it has one.
  pub priority: Option<u32>,
  /// What it may ask for; any number of requests where absent.
  pub rate_limit: Option<RateLimit>,
  /// The regions in which its requests may be served; any where empty.
  pub regions: BTreeSet<Region>,
}

impl KeyRing {
  /// The keys of a configuration.
  pub fn new(configuration: &Configuration) -> Self {
    let mut members = BTreeMap::new();
    for (name, organisation) in &configuration.organisations {
      let organisation = &organisation.value;
      let member = Rc::new(Member {
        organisation: name.clone(),
        priority: organisation.priority,
        rate_limit: organisation.rate_limit,
        regions: organisation.regions.clone(),
      });
      members.extend(organisation.keys.iter().map(|key| (*key, member.clone())));
    }
    Self { is_needed: !configuration.organisations.is_empty(), members }
  }

  /// Whether requests need a key.
  pub fn is_needed(&self) -> bool {
    self.is_needed
  }

  /// The organisation whose key a request carries, as the value of its `Authorization`.
  pub fn identify(&self, authorization: Option<&HeaderValue>) -> Result<Rc<Member>, KeyFault> {
    let key = authorization.and_then(|value| bearer(value.as_bytes())).ok_or(KeyFault::Missing)?;
    self.members.get(&KeyDigest::of(key)).cloned().ok_or(KeyFault::Unknown)
  }
}

/// The key in `Bearer KEY`.
fn bearer(value: &[u8]) -> Option<&[u8]> {
  const SCHEME: &[u8] = b"bearer ";
  let (scheme, key) = value.split_at_checked(SCHEME.len())?;
  let key = key.trim_ascii();
  (scheme.eq_ignore_ascii_case(SCHEME) && !key.is_empty()).then_some(key)
}
