use super::*;

/// News about a box that were not told yet.
#[derive(Clone, Debug)]
pub(super) struct UntoldNews {
  endpoint: Endpoint,
  /// The link that told them; nothing where this daemon found them out itself.
  from: Option<LinkId>,
}

/// News about boxes: what this daemon takes in, and tells its proxies and its neighbours.
impl Follower {
  /// Takes in news about a box. Returns whether it was new.
  pub(super) fn take_news(&mut self, endpoint: &Endpoint) -> bool {
    if endpoint.peer.box_id == self.own.peer.box_id {
      self.take_own_news(endpoint);
      return false;
    }
    if !endpoint.state.is_gone() {
      self.lapsed.remove(&endpoint.peer.box_id);
    }
    let known = self.endpoints.get(&endpoint.peer.box_id);
    let former = known.map(|known| known.service.clone());
    let is_news = self.endpoints.merge(self.now.time, endpoint.clone());
    self.changed_services.extend(former.filter(|former| is_news && *former != endpoint.service));
    is_news
  }

  /// News about boxes were taken in. Those that come alone are told at once; those of a crowd are gathered for a tick,
  /// so that each neighbour gets them in one message.
  pub(super) fn news_taken(&mut self, news: &[Endpoint], from: Option<LinkId>) {
    for endpoint in news {
      self.watchers.update(endpoint);
      let untold = UntoldNews { endpoint: endpoint.clone(), from };
      self.untold_news.insert(endpoint.peer.box_id.clone(), untold);
    }
    if self.now.time.since_ms(self.news_told_at) >= Distributor::TICK_MS {
      self.tell_news();
    }
  }

  /// Tells the proxies of this box, and all neighbours but those that told, the news that were gathered.
  pub(super) fn tell_news(&mut self) {
    let untold = std::mem::take(&mut self.untold_news);
    if untold.is_empty() {
      return;
    }
    self.news_told_at = self.now.time;
    let news: Vec<Endpoint> = untold.values().map(|one| one.endpoint.clone()).collect();
    self.note_versions(&news);
    self.act(Action::EndpointsUpdated(news));
    let links: Vec<LinkId> = self.links.keys().copied().collect();
    for link in links {
      let news = untold.values().filter(|one| one.from != Some(link));
      let news: Vec<Endpoint> = news.map(|one| one.endpoint.clone()).collect();
      if !news.is_empty() {
        self.send(link, Message::Endpoints(news));
      }
    }
  }
}
