use super::*;

/// Evacuations of data halls: reads them from the store and propagates them.
impl Follower {
  /// Handles an entry written by operators. Returns whether it is about an evacuation.
  pub(super) fn note_evacuation(
    &mut self,
    key: &Key,
    revision: Revision,
    is_present: bool,
  ) -> bool {
    let Some(data_hall) = self.source.evacuated_hall(key) else {
      return false;
    };
    self.take_evacuations(&[Evacuation { data_hall, is_evacuated: is_present, revision }], None);
    true
  }

  /// Ends evacuations that a complete read of the operators' entries does not show.
  pub(super) fn note_evacuations_over(&mut self, entries: &[Entry], revision: Revision) {
    let shown = entries.iter().filter_map(|entry| self.source.evacuated_hall(&entry.key));
    let ended = self.evacuations.ended(&shown.collect(), revision);
    self.take_evacuations(&ended, None);
  }

  /// Merges evacuations from the store or a neighbour and forwards those that are new.
  pub(super) fn take_evacuations(&mut self, received: &[Evacuation], from: Option<LinkId>) {
    let mut fresh = Vec::new();
    for one in received {
      if self.evacuations.merge(one) {
        let order = if one.is_evacuated { "evacuate" } else { "end the evacuation of" };
        self.log(format!("the operators {order} {} at revision {}", one.data_hall, one.revision));
        fresh.push(one.clone());
      }
    }
    if fresh.is_empty() {
      return;
    }
    self.act(Action::EvacuationsChanged(self.evacuations.halls()));
    let links: Vec<LinkId> =
      self.links.keys().copied().filter(|link| Some(*link) != from).collect();
    for link in links {
      self.send(link, Message::Evacuations(fresh.clone()));
    }
  }

  /// Sends all evacuations to a new neighbour.
  pub(super) fn send_evacuations_to(&mut self, link: LinkId) {
    let all = self.evacuations.all();
    if !all.is_empty() {
      self.send(link, Message::Evacuations(all));
    }
  }
}
