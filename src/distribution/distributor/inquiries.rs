use super::*;

/// Queries of operators, which are forwarded over the links and whose answers are collected.
impl Distributor {
  pub(super) fn operator_query_received(&mut self, question: &Question, token: u64) {
    let asker = Asker::Operator(token);
    self.start_inquiry(&asker, Inquiries::HOPS_MAX, question);
  }

  pub(super) fn query_received(
    &mut self,
    link: LinkId,
    hops: u8,
    id: InquiryId,
    question: &Question,
  ) {
    if let Question::Floor { box_id } = question {
      let version = self.floor_for(box_id);
      let reports = vec![Report::Floor { version }];
      self.send(link, Message::Answer { asked: 1, id, reports });
      return;
    }
    self.start_inquiry(&Asker::Neighbour(link, id), hops, question);
  }

  fn start_inquiry(&mut self, asker: &Asker, hops: u8, question: &Question) {
    let targets = if hops == 0 { BTreeSet::new() } else { self.forward_targets(asker, question) };
    let consulting = matches!(question, Question::Request { .. });
    let own = self.own_reports(question);
    let started =
      self.inquiries.start(self.now.time, asker.clone(), hops, targets.clone(), consulting, own);
    let Some(id) = started else {
      let ended = Ended { asked: 0, asker: asker.clone(), missing: 0, reports: Vec::new() };
      self.answer(ended);
      return;
    };
    if consulting {
      self.push_action(Action::QueryRecords { id, question: question.clone() });
    }
    for link in targets {
      let ask = Message::Ask { hops: hops.saturating_sub(1), id, question: question.clone() };
      self.send(link, ask);
    }
  }

  /// The neighbours that an inquiry is forwarded to: along the subscription tree and between
  /// relays, never back to the asker.
  fn forward_targets(&self, asker: &Asker, question: &Question) -> BTreeSet<LinkId> {
    let from = match asker {
      Asker::Neighbour(link, _) => Some(*link),
      Asker::Operator(_) => None,
    };
    let from_role = from.and_then(|link| self.links.get(&link)).map(|link| link.role);
    let goes_to = |role: LinkRole| match role {
      LinkRole::Downstream => question.reaches_boxes(),
      LinkRole::Mesh => from_role != Some(LinkRole::Mesh),
      LinkRole::Pending => false,
      LinkRole::Upstream => from_role != Some(LinkRole::Upstream),
    };
    let wanted = self.links.iter().filter(|(id, link)| Some(**id) != from && goes_to(link.role));
    wanted.map(|(id, _)| *id).collect()
  }

  fn own_reports(&self, question: &Question) -> Vec<Report> {
    match question {
      Question::Held { box_id } if *box_id == self.own.peer.box_id => vec![self.held_report()],
      Question::Rollout => self.rollout_reports(),
      Question::Floor { .. } | Question::Held { .. } | Question::Request { .. } => Vec::new(),
    }
  }

  fn held_report(&self) -> Report {
    let refusals = self.catalog.refusals();
    Report::Held {
      box_id: self.own.peer.box_id.clone(),
      provenance: self.catalog.provenance().cloned().collect(),
      refusals: refusals.map(|(unix_ms, err)| (*unix_ms, err.to_string())).collect(),
      store_age_ms: self.store_age_ms(),
      version: self.catalog.version(),
    }
  }

  fn rollout_reports(&self) -> Vec<Report> {
    let own = Report::Applied {
      box_id: self.own.peer.box_id.clone(),
      refusal: self.catalog.refusals().last().map(|(_, err)| err.to_string()),
      unix_ms: self.applied_unix_ms(),
      version: self.catalog.version(),
    };
    let served = self.established_links(LinkRole::Downstream).map(|(_, link)| Report::Applied {
      box_id: link.peer.clone(),
      refusal: link.refusal.clone(),
      unix_ms: link.applied_unix_ms,
      version: link.version.map(|(version, _)| version),
    });
    std::iter::once(own).chain(served).collect()
  }

  /// When the held version was applied, in milliseconds since 1970; 0 if none is held.
  pub(super) fn applied_unix_ms(&self) -> u64 {
    self.catalog.provenance().last().map_or(0, |provenance| provenance.applied_unix_ms)
  }

  pub(super) fn inquiry_answered(
    &mut self,
    link: LinkId,
    id: InquiryId,
    asked: usize,
    reports: Vec<Report>,
  ) {
    let Some(peer) = self.links.get(&link).map(|link| link.peer.clone()) else {
      return;
    };
    if let [Report::Floor { version }] = reports[..] {
      self.floor_received(peer, version);
      self.close_link(link);
      return;
    }
    self.inquiries.answered(id, link, asked, reports);
  }

  pub(super) fn finish_inquiries(&mut self) {
    for ended in self.inquiries.ended(self.now.time) {
      self.answer(ended);
    }
  }

  fn answer(&mut self, ended: Ended) {
    let Ended { asked, asker, missing, reports } = ended;
    match asker {
      Asker::Neighbour(link, id) => self.send(link, Message::Answer { asked, id, reports }),
      Asker::Operator(token) => {
        self.push_action(Action::Answer { asked, missing, reports, token });
      }
    }
  }
}
