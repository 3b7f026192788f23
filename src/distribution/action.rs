use super::*;

/// What a [`Distributor`] wants done.
#[derive(Clone, Debug)]
pub enum Action {
  /// An inquiry of this daemon's operators' side ended.
  Answer {
    /// Boxes that could have answered and did not within the time.
    missing: usize,
    /// What is known.
    reports: Vec<Report>,
    /// The token of [`Event::Asked`].
    token: u64,
  },
  /// A newer configuration is in force from now on.
  Apply(Arc<Configuration>),
  /// A newer version is known than the one held: what it brings may be missed here.
  Behind(Version),
  /// Call the store and return the answer as [`Event::StoreAnswered`].
  CallStore {
    /// Named again in the answer.
    call: u64,
    /// The request.
    request: StoreRequest,
  },
  /// Close a link. No [`Event::LinkClosed`] follows.
  CloseLink {
    /// The link.
    link: LinkId,
  },
  /// Look into the daemon's own records and return [`Event::Consulted`].
  Consult {
    /// The inquiry.
    id: InquiryId,
    /// The question.
    question: Question,
  },
  /// The endpoint table changed.
  EndpointsChanged,
  /// News about some boxes were taken into the endpoint table.
  EndpointsNews(Vec<Endpoint>),
  /// Which data halls the operators evacuate changed.
  EvacuationsChanged(BTreeSet<DataHall>),
  /// Tell the log.
  Log(String),
  /// Open a link; [`Event::LinkOpened`] or [`Event::LinkFailed`] follows.
  OpenLink(Peer),
  /// A configuration in the store was not taken: tell operators.
  Refuse {
    /// What is wrong with it.
    reason: String,
    /// Its version, where that much could be read.
    version: Option<Version>,
  },
  /// Which versions of services get which requests changed.
  RolloutsChanged(BTreeMap<ServiceName, Traffic>),
  /// Send a message.
  Send {
    /// The link.
    link: LinkId,
    /// The message.
    message: Message,
  },
  /// The store came back from a copy: tell operators.
  StoreWentBack(Era),
  /// The directory holds an entry that cannot be read: tell operators.
  UnreadableEntry(UnreadableEntry),
}
