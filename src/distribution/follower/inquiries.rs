use super::*;

/// Answers operators' inquiries from what this daemon itself holds.
impl Follower {
  pub(super) fn operator_asked(&mut self, question: &Question, token: u64) {
    self.start_inquiry(Asker::Operator(token), question);
  }

  pub(super) fn neighbour_asked(&mut self, link: LinkId, id: InquiryId, question: &Question) {
    self.start_inquiry(Asker::Neighbour(link, id), question);
  }

  fn start_inquiry(&mut self, asker: Asker, question: &Question) {
    let consulting = matches!(question, Question::Request { .. });
    let own = self.own_reports(question);
    let now = self.now.time;
    let started = self.inquiries.start(now, asker, 0, BTreeSet::new(), consulting, own);
    if let Some(id) = started.filter(|_| consulting) {
      self.act(Action::QueryRecords { id, question: question.clone() });
    }
  }

  fn own_reports(&self, question: &Question) -> Vec<Report> {
    let own = &self.own.peer.box_id;
    let refusals = self.catalog.refusals();
    match question {
      Question::Floor { .. } => vec![Report::Floor { version: self.catalog.floor() }],
      Question::Held { box_id } if box_id == own => vec![Report::Held {
        box_id: own.clone(),
        provenance: self.catalog.provenance().cloned().collect(),
        refusals: refusals.map(|(unix_ms, err)| (*unix_ms, err.to_string())).collect(),
        store_age_ms: self.confirmed_at.map(|at| self.now.time.since_ms(at)),
        version: self.catalog.version(),
      }],
      Question::Rollout => vec![Report::Applied {
        box_id: own.clone(),
        refusal: refusals.last().map(|(_, err)| err.to_string()),
        unix_ms: self.catalog.provenance().last().map_or(0, |one| one.applied_unix_ms),
        version: self.catalog.version(),
      }],
      Question::Held { .. } | Question::Request { .. } => Vec::new(),
    }
  }

  pub(super) fn finish_inquiries(&mut self) {
    for ended in self.inquiries.ended(self.now.time) {
      let Ended { asked, asker, missing, reports } = ended;
      match asker {
        Asker::Neighbour(link, id) => self.send(link, Message::Answer { asked, id, reports }),
        Asker::Operator(token) => self.act(Action::Answer { asked, missing, reports, token }),
      }
    }
  }
}
