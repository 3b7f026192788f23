use super::*;

/// An input of a [`Distributor`].
#[derive(Clone, Debug)]
pub enum Event {
  /// This daemon wrote a change to the store.
  Accepted {
    /// The version that the change made.
    version: Version,
  },
  /// An operator asks the fleet a question. [`Action::Answer`] follows.
  Asked {
    /// The question.
    question: Question,
    /// The id of the question, repeated in the answer.
    token: u64,
  },
  /// The daemon's own backend server registered the service that it provides.
  EndpointServes {
    /// The service.
    service: ServiceName,
    /// Number of requests that it runs concurrently.
    slots: u32,
    /// The version of its software, if it reported one.
    software: Option<SoftwareVersion>,
    /// Number of times that its process was restarted.
    starts: u32,
  },
  /// The state of the daemon's own backend server changed.
  EndpointState(EndpointState),
  /// A link was closed.
  LinkClosed {
    /// The link.
    link: LinkId,
  },
  /// A link could not be opened.
  LinkFailed {
    /// The box at the intended other end.
    box_id: BoxId,
  },
  /// A link was opened, and the peer authenticated with the fleet key.
  LinkOpened {
    /// The link.
    link: LinkId,
    /// Whether this daemon opened it.
    outbound: bool,
    /// The box at the other end.
    peer: BoxId,
  },
  /// A message was received.
  Received {
    /// The link.
    link: LinkId,
    /// The message.
    message: Message,
  },
  /// The result of [`Action::QueryRecords`].
  RecordsQueried {
    /// The inquiry.
    id: InquiryId,
    /// The daemon's reports.
    reports: Vec<Report>,
  },
  /// Observations of the daemon's own backend server's answers during a roll-out.
  RolloutObserved(Evidence),
  /// Outcomes of requests that the daemon's own backend server ran.
  RunsEnded(RunOutcome),
  /// The store answered a call.
  StoreAnswered {
    /// The call.
    call: u64,
    /// The store's newest known era at that time.
    era: Era,
    /// The answer.
    result: store::Result<Reply>,
  },
  /// The timer fired, every [`Distributor::TICK_MS`] milliseconds.
  Tick,
}
