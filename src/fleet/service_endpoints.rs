use super::*;

/// The boxes of each service, for lookups by the proxies of a daemon.
///
/// An update of one box touches only the boxes of its service.
#[derive(Clone, Debug, Default)]
pub struct ServiceEndpoints {
  /// The present boxes, with their services.
  by_box: BTreeMap<BoxId, ServiceName>,
  by_service: BTreeMap<ServiceName, Rc<Vec<Endpoint>>>,
  /// The number of boxes that take work.
  live: usize,
  /// Lost boxes. They may still run, as they didn't announce that they left.
  lost: BTreeSet<BoxId>,
}

impl ServiceEndpoints {
  /// Updates a box from its newest status.
  pub fn update(&mut self, endpoint: &Endpoint) {
    let box_id = &endpoint.peer.box_id;
    self.remove(box_id);
    if endpoint.state == EndpointState::Lost {
      self.lost.insert(box_id.clone());
    } else {
      self.lost.remove(box_id);
    }
    if endpoint.state.is_gone() {
      return;
    }
    self.live += usize::from(endpoint.state == EndpointState::Live);
    self.by_box.insert(box_id.clone(), endpoint.service.clone());
    let boxes = self.by_service.entry(endpoint.service.clone()).or_default();
    Rc::make_mut(boxes).push(endpoint.clone());
  }

  fn remove(&mut self, box_id: &BoxId) {
    let Some(service) = self.by_box.remove(box_id) else {
      return;
    };
    let Some(boxes) = self.by_service.get_mut(&service) else {
      return;
    };
    let Some(place) = boxes.iter().position(|one| one.peer.box_id == *box_id) else {
      return;
    };
    let removed = Rc::make_mut(boxes).swap_remove(place);
    self.live -= usize::from(removed.state == EndpointState::Live);
    if boxes.is_empty() {
      self.by_service.remove(&service);
    }
  }

  /// Returns the present boxes of a service, in no particular order.
  pub fn of(&self, service: &ServiceName) -> Rc<Vec<Endpoint>> {
    self.by_service.get(service).cloned().unwrap_or_default()
  }

  /// Returns a present box.
  pub fn find(&self, box_id: &BoxId) -> Option<&Endpoint> {
    let service = self.by_box.get(box_id)?;
    self.by_service.get(service)?.iter().find(|one| one.peer.box_id == *box_id)
  }

  /// Returns the present boxes.
  pub fn boxes(&self) -> impl Iterator<Item = &BoxId> {
    self.by_box.keys()
  }

  /// The number of present and lost boxes.
  pub fn count(&self) -> usize {
    self.by_box.len() + self.lost.len()
  }

  /// The number of boxes that take work.
  pub fn live(&self) -> usize {
    self.live
  }

  /// The number of lost boxes, which may still run.
  pub fn lost(&self) -> usize {
    self.lost.len()
  }
}
