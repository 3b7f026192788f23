use super::*;

/// Inquiries that pass this daemon: each goes on to some neighbours and gathers what comes back.
#[derive(Clone, Debug, Default)]
pub struct Inquiries {
  last_id: InquiryId,
  pending: BTreeMap<InquiryId, Inquiry>,
}

#[derive(Clone, Debug)]
struct Inquiry {
  asker: Asker,
  consulting: bool,
  deadline: Time,
  reports: Vec<Report>,
  waiting: BTreeSet<LinkId>,
}

/// Who asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Asker {
  /// A neighbour, by its own id of the inquiry.
  Neighbour(LinkId, InquiryId),
  /// The daemon's operators' side.
  Operator(u64),
}

/// An inquiry that ended.
pub(super) struct Ended {
  pub(super) asker: Asker,
  pub(super) missing: usize,
  pub(super) reports: Vec<Report>,
}

impl Inquiries {
  /// Daemons that an inquiry passes at most: subscriber, relay, relay, subscriber and one to spare.
  pub const HOPS_MAX: u8 = 4;
  /// Inquiries that may be under way; more are answered with nothing.
  const PENDING_MAX: usize = 64;
  /// Milliseconds that each hop that is left may take.
  const PATIENCE_PER_HOP_MS: u64 = 300;

  /// Starts an inquiry that waits for `waiting` and, where `consulting`, for the daemon itself.
  /// Nothing where too many are under way.
  pub(super) fn start(
    &mut self,
    now: Time,
    asker: Asker,
    hops: u8,
    waiting: BTreeSet<LinkId>,
    consulting: bool,
    reports: Vec<Report>,
  ) -> Option<InquiryId> {
    if self.pending.len() >= Self::PENDING_MAX {
      return None;
    }
    self.last_id = self.last_id.next();
    let deadline = now.after(Self::PATIENCE_PER_HOP_MS * u64::from(hops + 1));
    let inquiry = Inquiry { asker, consulting, deadline, reports, waiting };
    self.pending.insert(self.last_id, inquiry);
    Some(self.last_id)
  }

  /// A neighbour answered.
  pub(super) fn answered(&mut self, id: InquiryId, link: LinkId, reports: Vec<Report>) {
    if let Some(inquiry) = self.pending.get_mut(&id).filter(|one| one.waiting.contains(&link)) {
      inquiry.waiting.remove(&link);
      inquiry.reports.extend(reports);
    }
  }

  /// The daemon looked into its own records.
  pub(super) fn consulted(&mut self, id: InquiryId, reports: Vec<Report>) {
    if let Some(inquiry) = self.pending.get_mut(&id) {
      inquiry.consulting = false;
      inquiry.reports.extend(reports);
    }
  }

  /// A link ended: nothing will come from there.
  pub(super) fn link_closed(&mut self, link: LinkId) {
    let from_link =
      |inquiry: &Inquiry| matches!(inquiry.asker, Asker::Neighbour(from, _) if from == link);
    self.pending.retain(|_, inquiry| !from_link(inquiry));
  }

  /// Takes out the inquiries that are complete or out of time.
  pub(super) fn ended(&mut self, now: Time) -> Vec<Ended> {
    let is_over = |inquiry: &Inquiry| {
      now >= inquiry.deadline || (inquiry.waiting.is_empty() && !inquiry.consulting)
    };
    let over: Vec<InquiryId> =
      self.pending.iter().filter(|(_, inquiry)| is_over(inquiry)).map(|(id, _)| *id).collect();
    let taken = over.into_iter().filter_map(|id| self.pending.remove(&id));
    taken
      .map(|inquiry| Ended {
        asker: inquiry.asker,
        missing: inquiry.waiting.len(),
        reports: inquiry.reports,
      })
      .collect()
  }
}
