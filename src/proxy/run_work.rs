use super::*;

/// The work of the run that an answer came from, in microseconds at the usual backend server of its
/// service. An extension of the answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunWork(pub(super) u64);

impl RunWork {
  /// Tells the daemon of the box to which an answer goes.
  pub(super) fn tell(answer: &mut Response<AnyBody>) {
    if let Some(Self(work_us)) = answer.extensions().get().copied() {
      headers::set(answer.headers_mut(), headers::RUN_WORK_US, work_us);
    }
  }

  /// Takes what another box's daemon told.
  pub(super) fn take(head: &mut http::response::Parts) {
    if let Some(work_us) = headers::parsed(&head.headers, headers::RUN_WORK_US) {
      head.headers.remove(headers::RUN_WORK_US);
      head.extensions.insert(Self(work_us));
    }
  }

  /// Learns from an answer how long runs of its route take.
  pub(super) fn learn(
    shared: &Shared,
    route: &RouteName,
    kind: &RouteKind,
    answer: &Response<AnyBody>,
  ) {
    if let Some(Self(work_us)) = answer.extensions().get() {
      shared.run_times.borrow_mut().note(route, kind, *work_us);
    }
  }
}
