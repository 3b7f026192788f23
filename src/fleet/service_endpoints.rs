use super::*;

/// The boxes of each service, as the proxies of a daemon look them up.
///
/// What one box's news changes costs a look at its own service.
#[derive(Clone, Debug, Default)]
pub struct ServiceEndpoints {
  /// Boxes that are there, with the service under which they stand.
  by_box: BTreeMap<BoxId, ServiceName>,
  by_service: BTreeMap<ServiceName, Rc<Vec<Endpoint>>>,
  /// Boxes that take work.
  live: usize,
  /// Boxes that were lost and may live: nobody heard that they left.
  lost: BTreeSet<BoxId>,
}

impl ServiceEndpoints {
  /// Takes in the newest news about a box.
  pub fn take(&mut self, endpoint: &Endpoint) {
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

  /// The boxes of a service that are there, in no order.
  pub fn of(&self, service: &ServiceName) -> Rc<Vec<Endpoint>> {
    self.by_service.get(service).cloned().unwrap_or_default()
  }

  /// A box that is there.
  pub fn find(&self, box_id: &BoxId) -> Option<&Endpoint> {
    let service = self.by_box.get(box_id)?;
    self.by_service.get(service)?.iter().find(|one| one.peer.box_id == *box_id)
  }

  /// Boxes that are there.
  pub fn boxes(&self) -> impl Iterator<Item = &BoxId> {
    self.by_box.keys()
  }

  /// How many boxes are there, or may be.
  pub fn count(&self) -> usize {
    self.by_box.len() + self.lost.len()
  }

  /// How many boxes take work.
  pub fn live(&self) -> usize {
    self.live
  }

  /// How many boxes were lost and may live.
  pub fn lost(&self) -> usize {
    self.lost.len()
  }
}
