use super::*;

/// What a [`Distributor`] asks its caller to do.
#[derive(Clone, Debug)]
pub enum Action {
  /// Answer an operator's inquiry that was asked on this daemon.
  Answer {
    /// Number of boxes that answered, with this one.
    asked: usize,
    /// Number of neighbours that did not answer in time.
    missing: usize,
    /// The collected reports.
    reports: Vec<Report>,
    /// The token of [`Event::Asked`].
    token: u64,
  },
  /// Put a newer configuration in force.
  Apply(Arc<Configuration>),
  /// Call the store and return the answer as [`Event::StoreAnswered`].
  CallStore {
    /// The id of the call, repeated in the answer.
    call: u64,
    /// The request.
    request: StoreRequest,
  },
  /// Close a link. No [`Event::LinkClosed`] follows.
  CloseLink {
    /// The link.
    link: LinkId,
  },
  /// The endpoint table changed.
  EndpointsChanged,
  /// These endpoints were updated in the endpoint table.
  EndpointsUpdated(Vec<Endpoint>),
  /// The set of evacuated data halls changed.
  EvacuationsChanged(BTreeSet<DataHall>),
  /// Write a line to the log.
  Log(String),
  /// A version newer than the held one is known to exist, so the held configuration may be stale.
  NewerVersionKnown(Version),
  /// Open a link; [`Event::LinkOpened`] or [`Event::LinkFailed`] follows.
  OpenLink(Peer),
  /// Query the daemon's own records and return [`Event::RecordsQueried`].
  QueryRecords {
    /// The inquiry.
    id: InquiryId,
    /// The question.
    question: Question,
  },
  /// Report to the operators that a configuration in the store was refused.
  ReportRefusal {
    /// Why it was refused.
    reason: String,
    /// Its version, if it could be read.
    version: Option<Version>,
  },
  /// The split of traffic between versions of services changed.
  RolloutsChanged(BTreeMap<ServiceName, Traffic>),
  /// Send a message.
  Send {
    /// The link.
    link: LinkId,
    /// The message.
    message: Message,
  },
  /// Report to the operators that the store was restored from a backup, which began this era.
  StoreRestored(Era),
  /// Report to the operators that the directory holds an entry that cannot be read.
  UnreadableEntry(UnreadableEntry),
}
