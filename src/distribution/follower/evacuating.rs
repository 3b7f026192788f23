use super::*;

/// Evacuations of data halls: what this box reads of them, hears, and tells on.
impl Follower {
  /// An entry of the operators was read. Returns whether it tells of an evacuation.
  pub(super) fn note_evacuation(&mut self, key: &Key, revision: Revision, is_there: bool) -> bool {
    let Some(data_hall) = self.source.evacuated_hall(key) else {
      return false;
    };
    self.take_evacuations(&[Evacuation { data_hall, is_evacuated: is_there, revision }], None);
    true
  }

  /// The whole of what the operators wrote was read: what it does not show is over.
  pub(super) fn note_evacuations_over(&mut self, entries: &[Entry], revision: Revision) {
    let shown = entries.iter().filter_map(|entry| self.source.evacuated_hall(&entry.key));
    let ended = self.evacuations.ended(&shown.collect(), revision);
    self.take_evacuations(&ended, None);
  }

  /// Takes in what the store or a neighbour told, and tells the others what of it is news.
  pub(super) fn take_evacuations(&mut self, told: &[Evacuation], from: Option<LinkId>) {
    let mut news = Vec::new();
    for one in told {
      if self.evacuations.merge(one) {
        let wish = if one.is_evacuated { "evacuate" } else { "take back" };
        self.log(format!("the operators {wish} {}, at revision {}", one.data_hall, one.revision));
        news.push(one.clone());
      }
    }
    if news.is_empty() {
      return;
    }
    self.act(Action::EvacuationsChanged(self.evacuations.halls()));
    let links: Vec<LinkId> =
      self.links.keys().copied().filter(|link| Some(*link) != from).collect();
    for link in links {
      self.send(link, Message::Evacuations(news.clone()));
    }
  }

  /// A new neighbour is told of all evacuations.
  pub(super) fn tell_evacuations_to(&mut self, link: LinkId) {
    let all = self.evacuations.all();
    if !all.is_empty() {
      self.send(link, Message::Evacuations(all));
    }
  }
}
