use super::*;

/// What happens to a [`Distributor`].
#[derive(Clone, Debug)]
pub enum Event {
  /// This daemon brought a change into the store.
  Accepted {
    /// The version that the change made.
    version: Version,
  },
  /// The operators' side asks the fleet. Ends with [`Action::Answer`].
  Asked {
    /// The question.
    question: Question,
    /// Named again in the answer.
    token: u64,
  },
  /// The daemon answers [`Action::Consult`].
  Consulted {
    /// The inquiry.
    id: InquiryId,
    /// What the daemon knows.
    reports: Vec<Report>,
  },
  /// The daemon's own backend server said what it serves.
  EndpointServes {
    /// The service.
    service: ServiceName,
    /// Requests that it runs at once.
    slots: u32,
    /// The version of its software, where it told one.
    software: Option<SoftwareVersion>,
    /// How many of its processes followed the first one.
    starts: u32,
  },
  /// The state of the daemon's own backend server changed.
  EndpointState(EndpointState),
  /// A link ended.
  LinkClosed {
    /// The link.
    link: LinkId,
  },
  /// A link could not be opened.
  LinkFailed {
    /// The box that should be at its other end.
    box_id: BoxId,
  },
  /// A link opened, and the peer proved the fleet key.
  LinkOpened {
    /// The link.
    link: LinkId,
    /// Whether this daemon opened it.
    outbound: bool,
    /// The box at the other end.
    peer: BoxId,
  },
  /// A message came.
  Received {
    /// The link.
    link: LinkId,
    /// The message.
    message: Message,
  },
  /// The daemon tells of the answers of its own backend server, while a roll-out goes on.
  RolloutObserved(Evidence),
  /// The daemon found out how requests ended at its own backend server.
  RunsEnded(RunOutcome),
  /// The store answered a call.
  StoreAnswered {
    /// The call.
    call: u64,
    /// The store's newest era by then.
    era: Era,
    /// The answer.
    result: store::Result<Reply>,
  },
  /// Time passed. Comes every [`Distributor::TICK_MS`] milliseconds.
  Tick,
}
