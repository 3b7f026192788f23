use super::*;

/// A changed endpoint that has not been sent out yet.
#[derive(Clone, Debug)]
pub(super) struct UntoldNews {
  endpoint: Endpoint,
  /// The link that it came from; `None` if this daemon detected the change itself.
  from: Option<LinkId>,
}

/// Merges changes of endpoints and sends them to this box's proxies and to the neighbours.
impl Follower {
  /// Merges an endpoint. Returns whether it is newer than the known one.
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

  /// Queues endpoints that were merged. Single ones are sent out at once; those of a burst are
  /// batched for a tick, so that each neighbour gets them in one message.
  pub(super) fn news_taken(&mut self, news: &[Endpoint], from: Option<LinkId>) {
    for endpoint in news {
      self.watchers.note(endpoint);
      let untold = UntoldNews { endpoint: endpoint.clone(), from };
      self.untold_news.insert(endpoint.peer.box_id.clone(), untold);
    }
    if self.now.time.since_ms(self.news_told_at) >= Distributor::TICK_MS {
      self.tell_news();
    }
  }

  /// Sends the queued endpoints to this box's proxies and to all neighbours except those they came
  /// from.
  pub(super) fn tell_news(&mut self) {
    let untold = std::mem::take(&mut self.untold_news);
    if untold.is_empty() {
      return;
    }
    self.news_told_at = self.now.time;
    let news: Vec<Endpoint> = untold.values().map(|one| one.endpoint.clone()).collect();
    self.note_versions(&news);
    self.act(Action::EndpointsNews(news));
    let links: Vec<LinkId> = self.links.keys().copied().collect();
    for link in links {
      let news = untold.values().filter(|one| one.from != Some(link));
      let news: Vec<Endpoint> = news.map(|one| one.endpoint.clone()).collect();
      if !news.is_empty() {
        self.send(link, Message::News(news));
      }
    }
  }
}
