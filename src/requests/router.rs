use super::*;

/// Finds the route of a request in one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Router {
  /// Routes by the first segment of their path prefix, most specific first.
  by_segment: BTreeMap<String, Vec<(RouteName, Route)>>,
  /// The routes that the configuration leaves out.
  omissions: Vec<Omission>,
  version: Version,
}

impl Router {
  /// Creates a router for the routes of a configuration.
  pub fn new(configuration: &Configuration) -> Self {
    let mut by_segment: BTreeMap<String, Vec<(RouteName, Route)>> = BTreeMap::new();
    for (name, route) in &configuration.routes {
      let segment = first_segment(&route.value.path_prefix);
      let routes = by_segment.entry(segment.into()).or_default();
      routes.push((name.clone(), route.value.clone()));
    }
    for routes in by_segment.values_mut() {
      routes.sort_by(|(name, route), (other_name, other)| {
        other.specificity().cmp(&route.specificity()).then(name.cmp(other_name))
      });
    }
    let omissions = configuration.omissions.clone();
    Self { by_segment, omissions, version: configuration.version }
  }

  /// Returns the most specific route that matches the request.
  pub fn find(
    &self,
    method: &Method,
    host: Option<&str>,
    path: &str,
    headers: &HeaderMap,
  ) -> Option<RouteMatch> {
    let takes = |route: &Route| {
      route.matches_path(path)
        && route.method.as_ref().is_none_or(|wanted| wanted == method.as_str())
        && route.host.as_deref().is_none_or(|wanted| host == Some(wanted))
        && route.headers.iter().all(|(name, value)| {
          headers.get(name).is_some_and(|found| found.as_bytes() == value.as_bytes())
        })
    };
    let candidates = [first_segment(path), ""];
    let lists = candidates.iter().filter_map(|segment| self.by_segment.get(*segment));
    let best = lists
      .filter_map(|routes| routes.iter().find(|(_, route)| takes(route)))
      .max_by_key(|(_, route)| route.specificity())?;
    let omitted = self.omitted(host, path).and_then(|omission| omission.path_prefix.as_ref());
    if omitted.is_some_and(|prefix| prefix.len() > best.1.path_prefix.len()) {
      return None;
    }
    Some(RouteMatch {
      handling: best.1.handling.clone(),
      repeatable: best.1.repeatable,
      route: best.0.clone(),
      service: best.1.service.clone(),
    })
  }

  /// Returns the omission of the most specific route that the request would match if it could be
  /// read.
  pub fn omitted(&self, host: Option<&str>, path: &str) -> Option<&Omission> {
    let matching = self.omissions.iter().filter(|omission| omission.matches(host, path));
    matching.max_by_key(|omission| omission.path_prefix.as_ref().map_or(0, String::len))
  }

  /// The configuration version of the routes.
  pub fn version(&self) -> Version {
    self.version
  }
}

/// Returns `a` for `/a/b`, and an empty string for `/`. Routes match whole segments only, so the
/// first segment of a request's path is that of every matching route with a non-empty prefix.
fn first_segment(path: &str) -> &str {
  path.trim_start_matches('/').split('/').next().unwrap_or_default()
}
