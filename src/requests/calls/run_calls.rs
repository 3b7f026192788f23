use super::*;

/// The calls that one run made, by service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RunCalls {
  /// When the last of them ended, in microseconds on the daemon's clock.
  ended_us: u64,
  services: Vec<ServiceCalls>,
}

impl RunCalls {
  /// Services of which calls are kept, as they are sent in a header of the answer.
  const SERVICES_MAX: usize = 4;

  /// Returns whether a call that ended with this status failed: its service didn't serve it. Any
  /// other status is an answer, such as that something does not exist.
  pub fn is_failure(status: StatusCode) -> bool {
    let is_refused = [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS].contains(&status);
    status.is_server_error() || is_refused
  }

  /// Records a call that ended now, after `took_us` microseconds.
  pub fn add(&mut self, now_us: u64, service: &ServiceName, took_us: u64, failed: bool) {
    let is_together = now_us.saturating_sub(took_us) < self.ended_us;
    self.ended_us = self.ended_us.max(now_us);
    let known = self.services.iter().position(|one| one.service == *service);
    let index = known.unwrap_or(self.services.len());
    if index >= Self::SERVICES_MAX {
      return;
    }
    if known.is_none() {
      let service = service.clone();
      self.services.push(ServiceCalls { count: 0, failed: 0, service, together: 0, took_us: 0 });
    }
    let calls = &mut self.services[index];
    calls.count = calls.count.saturating_add(1);
    calls.failed += u32::from(failed);
    calls.together += u32::from(is_together);
    calls.took_us = calls.took_us.saturating_add(took_us);
  }

  /// Returns the number of calls that ended well.
  pub fn succeeded(&self) -> u32 {
    self.services.iter().map(|one| one.count - one.failed).sum()
  }

  /// Returns whether a call failed.
  pub fn has_failed(&self) -> bool {
    self.services.iter().any(|one| one.failed > 0)
  }

  /// Returns the calls by service.
  pub fn services(&self) -> &[ServiceCalls] {
    &self.services
  }
}

impl Display for RunCalls {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    let services: Vec<String> = self.services.iter().map(ToString::to_string).collect();
    f.write_str(&services.join(","))
  }
}

impl FromStr for RunCalls {
  type Err = crate::values::Error;

  fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
    let parts = text.split(',').filter(|part| !part.is_empty()).take(Self::SERVICES_MAX);
    let services = parts.map(str::parse).collect::<std::result::Result<_, _>>()?;
    Ok(Self { ended_us: 0, services })
  }
}
