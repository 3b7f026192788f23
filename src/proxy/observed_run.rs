use super::*;

/// A run at the backend server that counts as evidence for a rollout.
pub struct ObservedRun {
  /// `None` once the run was counted or discarded.
  began: Option<Stopwatch>,
  is_cold: bool,
  route: Option<RouteName>,
  shared: Rc<Shared>,
}

impl ObservedRun {
  /// A run that ends without an answer counts as slow if it took at least this multiple of the
  /// usual time. A shorter one may only mean that its caller disconnected early.
  const SLOW_FACTOR: u64 = 2;

  /// Starts measuring a request that is sent to the backend server.
  pub fn begin(shared: &Rc<Shared>, route: Option<&RouteName>) -> Self {
    Self {
      began: Some(Stopwatch::start()),
      is_cold: shared.backend.borrow().is_cold(shared.now().time),
      route: route.cloned(),
      shared: shared.clone(),
    }
  }

  /// Counts the run: an answer began, or the exchange failed through the backend server's fault.
  pub fn end(mut self, failed: bool) {
    let took = self.began.take().and_then(|began| began.read());
    let took = took.filter(|_| !failed);
    self.count(failed, took);
  }

  /// Discards the run, which says nothing about the backend server: it did not happen, or failed
  /// because of another service.
  pub fn discard(mut self) {
    self.began = None;
  }

  fn count(&self, failed: bool, took: Option<Duration>) {
    let took = took.filter(|_| !self.is_cold);
    let took_ms = took.map(|took| u64::try_from(took.as_millis()).unwrap_or(u64::MAX));
    if let Some(route) = &self.route {
      self.shared.observer.borrow_mut().record_run(route, failed, took_ms);
    }
  }
}

impl Drop for ObservedRun {
  fn drop(&mut self) {
    let Some(took) = self.began.take().and_then(|began| began.read()) else {
      return;
    };
    let usual_us = self.shared.monitor.borrow().service_us();
    if usual_us > 0 && took >= Duration::from_micros(usual_us * Self::SLOW_FACTOR) {
      self.count(false, Some(took));
    }
  }
}
