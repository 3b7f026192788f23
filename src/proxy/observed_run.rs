use super::*;

/// A run of the backend server that is counted for a roll-out.
pub struct ObservedRun {
  /// Nothing once it was counted.
  began: Option<Stopwatch>,
  is_cold: bool,
  route: Option<RouteName>,
  shared: Rc<Shared>,
}

impl ObservedRun {
  /// How many usual times a run without an answer took before it says that the backend server is slow. Its caller
  /// may have gone away long before.
  const UNANSWERED_TIMES: u64 = 2;

  /// A request is sent to the backend server.
  pub fn begin(shared: &Rc<Shared>, route: Option<&RouteName>) -> Self {
    Self {
      began: Some(Stopwatch::start()),
      is_cold: shared.backend.borrow().is_cold(shared.now().time),
      route: route.cloned(),
      shared: shared.clone(),
    }
  }

  /// An answer began, or the exchange broke by the backend server's fault.
  pub fn end(mut self, failed: bool) {
    let took = self.began.take().and_then(|began| began.read());
    let took = took.filter(|_| !failed);
    self.count(failed, took);
  }

  /// The run says nothing of the backend server: it did not happen, or failed for want of others.
  pub fn pass_over(mut self) {
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
    if usual_us > 0 && took >= Duration::from_micros(usual_us * Self::UNANSWERED_TIMES) {
      self.count(false, Some(took));
    }
  }
}
