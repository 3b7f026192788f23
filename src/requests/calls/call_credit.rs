use super::*;

/// Credit for retries of the calls that one run makes, by service, in thousandths of a retry.
///
/// The box that takes a request in earns it with the request, and passes on what it can't save.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallCredit {
  /// At most [`Self::SERVICES_MAX`] services, each with more than 0.
  services: Vec<(ServiceName, u32)>,
}

impl CallCredit {
  /// Services for which credit is kept, as it is sent in a header.
  const SERVICES_MAX: usize = 4;

  /// Adds credit for a service. What is beyond the services that are kept is lost.
  pub fn add(&mut self, service: &ServiceName, thousandths: u32) {
    if let Some((_, credit)) = self.services.iter_mut().find(|(name, _)| name == service) {
      *credit = credit.saturating_add(thousandths);
    } else if thousandths > 0 && self.services.len() < Self::SERVICES_MAX {
      self.services.push((service.clone(), thousandths));
    }
  }

  /// Adds credit for several services.
  pub fn add_all(&mut self, other: &Self) {
    for (service, thousandths) in &other.services {
      self.add(service, *thousandths);
    }
  }

  /// Removes up to `most` thousandths of a retry for a service, and returns how much.
  pub fn take(&mut self, service: &ServiceName, most: u32) -> u32 {
    let Some(index) = self.services.iter().position(|(name, _)| name == service) else {
      return 0;
    };
    let credit = &mut self.services[index].1;
    let taken = most.min(*credit);
    *credit -= taken;
    if *credit == 0 {
      self.services.remove(index);
    }
    taken
  }

  /// Returns whether there is none.
  pub fn is_empty(&self) -> bool {
    self.services.is_empty()
  }
}

impl Display for CallCredit {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    for (index, (service, thousandths)) in self.services.iter().enumerate() {
      let separator = if index == 0 { "" } else { "," };
      write!(f, "{separator}{}:{thousandths}", service.encoded())?;
    }
    Ok(())
  }
}

impl FromStr for CallCredit {
  type Err = crate::values::Error;

  fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
    let malformed = || Self::Err::Number { found: text.into(), kind: "credit for calls" };
    let mut credit = Self::default();
    for part in text.split(',').filter(|part| !part.is_empty()).take(Self::SERVICES_MAX) {
      let (service, thousandths) = part.split_once(':').ok_or_else(malformed)?;
      let service = ServiceName::decoded(service).ok_or_else(malformed)?;
      credit.add(&service, thousandths.parse().map_err(|_| malformed())?);
    }
    Ok(credit)
  }
}
