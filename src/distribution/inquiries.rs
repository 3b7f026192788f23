use super::*;

/// The pending inquiries of this daemon. Each is forwarded to some neighbours, and their reports
/// are collected.
#[derive(Clone, Debug, Default)]
pub struct Inquiries {
  last_id: InquiryId,
  pending: BTreeMap<InquiryId, Inquiry>,
}

#[derive(Clone, Debug)]
struct Inquiry {
  /// Number of boxes that answered, with this one.
  asked: usize,
  asker: Asker,
  awaits_own_records: bool,
  deadline: Time,
  reports: Vec<Report>,
  waiting: BTreeSet<LinkId>,
}

/// The source of an inquiry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Asker {
  /// A neighbour's link, with the neighbour's id of the inquiry.
  Neighbour(LinkId, InquiryId),
  /// An operator of this daemon, with the token of the question.
  Operator(u64),
}

/// An inquiry that is complete or timed out.
pub(super) struct Ended {
  pub(super) asked: usize,
  pub(super) asker: Asker,
  pub(super) missing: usize,
  pub(super) reports: Vec<Report>,
}

impl Inquiries {
  /// Maximum number of hops of an inquiry: subscriber, relay, relay, subscriber and one spare.
  pub const HOPS_MAX: u8 = 4;
  /// Maximum number of pending inquiries; further ones get an empty answer.
  const PENDING_MAX: usize = 64;
  /// Timeout for each remaining hop, in milliseconds.
  const TIMEOUT_PER_HOP_MS: u64 = 300;

  /// Starts an inquiry that waits for the links `waiting` and, if `awaits_own_records`, for the
  /// daemon's own records. Returns `None` if too many are pending.
  pub(super) fn start(
    &mut self,
    now: Time,
    asker: Asker,
    hops: u8,
    waiting: BTreeSet<LinkId>,
    awaits_own_records: bool,
    reports: Vec<Report>,
  ) -> Option<InquiryId> {
    if self.pending.len() >= Self::PENDING_MAX {
      return None;
    }
    self.last_id = self.last_id.next();
    let deadline = now.after(Self::TIMEOUT_PER_HOP_MS * u64::from(hops + 1));
    let inquiry = Inquiry { asked: 1, asker, awaits_own_records, deadline, reports, waiting };
    self.pending.insert(self.last_id, inquiry);
    Some(self.last_id)
  }

  /// Handles the answer of a neighbour for `asked` boxes that answered.
  pub(super) fn answered(
    &mut self,
    id: InquiryId,
    link: LinkId,
    asked: usize,
    reports: Vec<Report>,
  ) {
    if let Some(inquiry) = self.pending.get_mut(&id).filter(|one| one.waiting.contains(&link)) {
      inquiry.waiting.remove(&link);
      inquiry.asked = inquiry.asked.saturating_add(asked);
      inquiry.reports.extend(reports);
    }
  }

  /// Handles the reports from the daemon's own records.
  pub(super) fn consulted(&mut self, id: InquiryId, reports: Vec<Report>) {
    if let Some(inquiry) = self.pending.get_mut(&id) {
      inquiry.awaits_own_records = false;
      inquiry.reports.extend(reports);
    }
  }

  /// Drops the inquiries that came by a closed link.
  pub(super) fn link_closed(&mut self, link: LinkId) {
    let from_link =
      |inquiry: &Inquiry| matches!(inquiry.asker, Asker::Neighbour(from, _) if from == link);
    self.pending.retain(|_, inquiry| !from_link(inquiry));
  }

  /// Removes and returns the inquiries that are complete or timed out.
  pub(super) fn ended(&mut self, now: Time) -> Vec<Ended> {
    let is_over = |inquiry: &Inquiry| {
      now >= inquiry.deadline || (inquiry.waiting.is_empty() && !inquiry.awaits_own_records)
    };
    let over: Vec<InquiryId> =
      self.pending.iter().filter(|(_, inquiry)| is_over(inquiry)).map(|(id, _)| *id).collect();
    let taken = over.into_iter().filter_map(|id| self.pending.remove(&id));
    taken
      .map(|inquiry| Ended {
        asked: inquiry.asked,
        asker: inquiry.asker,
        missing: inquiry.waiting.len(),
        reports: inquiry.reports,
      })
      .collect()
  }
}
