use super::*;

/// What the decision on the entry of a caller's request depends on.
#[derive(Clone, Copy, Debug)]
pub struct EntryRequest<'a> {
  /// When its final answer is due.
  pub deadline: Time,
  /// How long its run is expected to take; `None` where that is unknown.
  pub estimate: Option<RunEstimate>,
  /// The organisation of its caller, if there are organisations.
  pub organisation: Option<&'a OrganisationName>,
  /// Its route.
  pub route: &'a RouteName,
  /// The service that receives it.
  pub service: &'a ServiceName,
  /// How urgent it is.
  pub urgency: Urgency,
}
