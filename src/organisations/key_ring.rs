use super::*;

/// The keys of all organisations in one version of the configuration.
///
/// Keys are looked up by digest, so the lookup time reveals nothing about the stored keys.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
  by_key: BTreeMap<KeyDigest, Rc<CallerOrganisation>>,
  /// Whether any organisation is configured, even if none of them holds a key.
  is_needed: bool,
}

/// The settings of a caller's organisation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerOrganisation {
  /// The organisation.
  pub organisation: OrganisationName,
  /// The priority of its requests, if configured.
  pub priority: Option<u32>,
  /// Its rate limit; unlimited if `None`.
  pub rate_limit: Option<RateLimit>,
  /// The regions in which its requests may be served; all regions if empty.
  pub regions: BTreeSet<Region>,
}

impl KeyRing {
  /// Builds the key ring of a configuration.
  pub fn new(configuration: &Configuration) -> Self {
    let mut by_key = BTreeMap::new();
    for (name, organisation) in &configuration.organisations {
      let organisation = &organisation.value;
      let caller = Rc::new(CallerOrganisation {
        organisation: name.clone(),
        priority: organisation.priority,
        rate_limit: organisation.rate_limit,
        regions: organisation.regions.clone(),
      });
      by_key.extend(organisation.keys.iter().map(|key| (*key, caller.clone())));
    }
    Self { is_needed: !configuration.organisations.is_empty(), by_key }
  }

  /// Whether requests must carry a key.
  pub fn is_needed(&self) -> bool {
    self.is_needed
  }

  /// Returns the organisation that holds the key in the request's `Authorization` header.
  ///
  /// # Errors
  ///
  /// Fails if the header holds no bearer key or if no organisation holds the key.
  pub fn identify(
    &self,
    authorization: Option<&HeaderValue>,
  ) -> Result<Rc<CallerOrganisation>, KeyFault> {
    let key = authorization.and_then(|value| bearer(value.as_bytes())).ok_or(KeyFault::Missing)?;
    self.by_key.get(&KeyDigest::of(key)).cloned().ok_or(KeyFault::Unknown)
  }
}

/// Extracts the key from `Bearer KEY`.
fn bearer(value: &[u8]) -> Option<&[u8]> {
  const SCHEME: &[u8] = b"bearer ";
  let (scheme, key) = value.split_at_checked(SCHEME.len())?;
  let key = key.trim_ascii();
  (scheme.eq_ignore_ascii_case(SCHEME) && !key.is_empty()).then_some(key)
}
