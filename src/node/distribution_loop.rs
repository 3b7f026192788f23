use super::*;

use super::open_link::{CloseSignal, OpenLink};

/// Performs the actions of the distribution state machine: links, store calls and changes of [`Shared`].
pub struct DistributionLoop {
  credentials: Credentials,
  distributor: RefCell<Box<dyn Distribution>>,
  last_link: Cell<LinkId>,
  last_token: Cell<u64>,
  links: RefCell<BTreeMap<LinkId, OpenLink>>,
  questions: RefCell<BTreeMap<u64, futures_channel::oneshot::Sender<InquiryResult>>>,
  shared: Rc<Shared>,
}

/// Result of an operator's inquiry to the fleet.
#[derive(Debug, Default)]
pub struct InquiryResult {
  /// Number of boxes that answered, with this one.
  pub asked: usize,
  /// Number of neighbours that did not answer in time.
  pub missing: usize,
  /// The answers received.
  pub reports: Vec<Report>,
}

impl DistributionLoop {
  /// Timeout for opening or closing a link, in milliseconds.
  const OPEN_TIMEOUT_MS: u64 = 2_000;

  /// Wraps a new state machine.
  pub fn new(shared: Rc<Shared>, distributor: Box<dyn Distribution>) -> Rc<Self> {
    let settings = &shared.settings;
    let credentials =
      Credentials { box_id: settings.box_id.clone(), key: settings.fleet_key.clone() };
    shared.set_endpoints(distributor.endpoints().iter());
    Rc::new(Self {
      credentials,
      distributor: RefCell::new(distributor),
      last_link: Cell::default(),
      last_token: Cell::default(),
      links: RefCell::default(),
      questions: RefCell::default(),
      shared,
    })
  }

  /// Borrows the state machine for reading.
  pub fn distributor(&self) -> std::cell::Ref<'_, dyn Distribution> {
    std::cell::Ref::map(self.distributor.borrow(), AsRef::as_ref)
  }

  /// Spawns the tasks that accept links from other daemons and that tick the state machine.
  pub fn start(self: &Rc<Self>, listener: Listener) {
    let accepting = self.clone();
    monoio::spawn(async move {
      loop {
        let (stream, _) = listener.accept().await;
        if let Some(entry) = accepting.shared.connections.open(PeerKind::Links) {
          monoio::spawn(accepting.clone().accept_link(stream, entry));
        }
      }
    });
    let ticking = self.clone();
    monoio::spawn(async move {
      loop {
        timer::sleep(Duration::from_millis(Distributor::TICK_MS)).await;
        ticking.shared.check_for_pause();
        for outcome in ticking.shared.take_run_outcomes() {
          ticking.handle(Event::RunsEnded(outcome));
        }
        ticking.shared.report_connections();
        ticking.announce_leaving();
        ticking.report_evidence();
        ticking.handle(Event::Tick);
        if ticking.shared.must_know_revocations() {
          let age_ms = ticking.distributor.borrow().status().store_age_ms;
          ticking.shared.note_confirmed(age_ms);
        }
      }
    });
  }

  /// Announces to the fleet that the backend server leaves, if its answers said so.
  fn announce_leaving(self: &Rc<Self>) {
    if self.shared.take_leaving_notice() && !self.shared.is_stopping() {
      self.handle(Event::EndpointState(EndpointState::Draining));
    }
  }

  /// Reports the backend server's answers to the daemons that may decide about a rollout.
  fn report_evidence(self: &Rc<Self>) {
    let own = self.distributor.borrow().own_endpoint().clone();
    if let Some(evidence) = self.shared.take_evidence(&own) {
      self.handle(Event::RolloutObserved(evidence));
    }
  }

  /// Sends a question to the fleet and waits for the answers, or until their time is over.
  pub async fn ask(self: &Rc<Self>, question: Question) -> InquiryResult {
    let token = self.last_token.get() + 1;
    self.last_token.set(token);
    let (answer, answered) = futures_channel::oneshot::channel();
    self.questions.borrow_mut().insert(token, answer);
    self.handle(Event::Asked { question, token });
    answered.await.unwrap_or_default()
  }

  /// Passes an event to the state machine and performs the actions that it returns.
  pub fn handle(self: &Rc<Self>, event: Event) {
    let actions = self.distributor.borrow_mut().handle(self.shared.now(), event);
    for action in actions {
      self.perform(action);
    }
  }

  fn perform(self: &Rc<Self>, action: Action) {
    match action {
      Action::Answer { asked, missing, reports, token } => {
        if let Some(answer) = self.questions.borrow_mut().remove(&token) {
          answer.send(InquiryResult { asked, missing, reports }).ok();
        }
      }
      Action::Apply(configuration) => self.shared.apply(configuration),
      Action::NewerVersionKnown(version) => self.shared.note_newer_version(version),
      Action::CallStore { call, request } => {
        monoio::spawn(self.clone().call_store(call, request));
      }
      Action::CloseLink { link } => {
        self.links.borrow_mut().remove(&link);
      }
      Action::QueryRecords { id, question } => {
        let reports = self.query_records(&question);
        let asked = self.clone();
        monoio::spawn(async move { asked.handle(Event::RecordsQueried { id, reports }) });
      }
      Action::EndpointsUpdated(endpoints) => self.shared.update_endpoints(&endpoints),
      Action::EvacuationsChanged(evacuated) => self.shared.set_evacuated(evacuated),
      Action::EndpointsChanged => {
        self.shared.set_endpoints(self.distributor.borrow().endpoints().iter());
      }
      Action::Log(text) => info!(self.shared.log.logger, "{}", text),
      Action::OpenLink(peer) => {
        monoio::spawn(self.clone().open_link(peer));
      }
      Action::ReportRefusal { reason, version } => {
        self.shared.note_refused_configuration(&reason, version);
      }
      Action::RolloutsChanged(traffic) => self.shared.set_traffic(traffic),
      Action::Send { link, message } => self.send(link, message),
      Action::StoreRestored(era) => self.shared.note_store_era(era),
      Action::UnreadableEntry(entry) => self.shared.note_unreadable_entry(&entry),
    }
  }

  fn query_records(&self, question: &Question) -> Vec<Report> {
    let Question::Request { id } = question else {
      return Vec::new();
    };
    let records = self.shared.records.borrow();
    let found = records.find(id).into_iter().cloned();
    found.map(|record| Report::Request(Box::new(record))).collect()
  }

  async fn call_store(self: Rc<Self>, call: u64, request: StoreRequest) {
    let result = self.shared.call_store(request).await;
    let era = self.shared.store_era();
    self.handle(Event::StoreAnswered { call, era, result });
  }

  /// Queues a message. Ends the link if the queue is full, as the peer reads too slowly.
  fn send(self: &Rc<Self>, link: LinkId, message: Message) {
    let sent = self.links.borrow_mut().get_mut(&link).map(|open| open.send(message));
    if sent == Some(false) {
      self.end_link(link);
    }
  }

  fn end_link(self: &Rc<Self>, link: LinkId) {
    if self.links.borrow_mut().remove(&link).is_some() {
      let ended = self.clone();
      monoio::spawn(async move { ended.handle(Event::LinkClosed { link }) });
    }
  }

  async fn open_link(self: Rc<Self>, peer: Peer) {
    let nonce = self.shared.rng.borrow_mut().random();
    let dialing = self.credentials.dial(peer.address, nonce);
    let limit = Duration::from_millis(Self::OPEN_TIMEOUT_MS);
    let opened = timer::timeout(limit, dialing).await;
    match opened {
      Ok(Ok((found, outgoing, incoming))) if found == peer.box_id => {
        self.add_link(found, true, outgoing, incoming);
      }
      Ok(Err(err)) if !matches!(err, links::Error::Broken { .. }) => {
        self.shared.note_refused_link(err.label());
        self.handle(Event::LinkFailed { box_id: peer.box_id });
      }
      _ => self.handle(Event::LinkFailed { box_id: peer.box_id }),
    }
  }

  /// Takes a link whose peer proves that it is of the fleet. `entry` counts its connection until then.
  async fn accept_link(self: Rc<Self>, stream: TcpStream, mut entry: OpenConnection) {
    entry.report(links::HANDSHAKE_BYTES_MAX, Phase::Receiving);
    let nonce = self.shared.rng.borrow_mut().random();
    let limit = Duration::from_millis(Self::OPEN_TIMEOUT_MS);
    let taking = Box::pin(timer::timeout(limit, self.credentials.accept(stream, nonce)));
    let taken = match futures_util::future::select(taking, Box::pin(entry.evicted())).await {
      futures_util::future::Either::Left((taken, _)) => taken,
      futures_util::future::Either::Right(_) => return,
    };
    drop(entry);
    match taken {
      Ok(Ok((peer, outgoing, incoming))) => self.add_link(peer, false, outgoing, incoming),
      Ok(Err(err)) => self.shared.note_refused_link(err.label()),
      Err(_) => self.shared.note_refused_link("too slow"),
    }
  }

  fn add_link(
    self: &Rc<Self>,
    peer: BoxId,
    outbound: bool,
    outgoing: Outgoing,
    incoming: IncomingFrames,
  ) {
    let link = self.last_link.get().next();
    self.last_link.set(link);
    let (open, messages, ended) = OpenLink::new();
    self.links.borrow_mut().insert(link, open);
    monoio::spawn(self.clone().write_link(link, messages, outgoing, ended.clone()));
    monoio::spawn(self.clone().read_link(link, incoming, ended));
    self.handle(Event::LinkOpened { link, outbound, peer });
  }

  async fn write_link(
    self: Rc<Self>,
    link: LinkId,
    mut messages: futures_channel::mpsc::Receiver<Message>,
    mut outgoing: Outgoing,
    ended: CloseSignal,
  ) {
    let writing = async {
      while let Some(message) = messages.next().await {
        match outgoing.send(&message).await {
          Ok(bytes) => self.shared.metrics.link_sent(bytes),
          Err(_) => return,
        }
      }
    };
    futures_util::future::select(Box::pin(writing), ended).await;
    let limit = Duration::from_millis(Self::OPEN_TIMEOUT_MS);
    timer::timeout(limit, outgoing.close()).await.ok();
    self.end_link(link);
  }

  async fn read_link(
    self: Rc<Self>,
    link: LinkId,
    mut incoming: IncomingFrames,
    ended: CloseSignal,
  ) {
    let reading = async {
      loop {
        match incoming.receive().await {
          Ok((message, bytes)) => {
            self.shared.metrics.link_received(bytes);
            self.handle(Event::Received { link, message });
          }
          Err(links::Error::Broken { .. }) => return,
          Err(err) => return self.shared.note_refused_link(err.label()),
        }
      }
    };
    futures_util::future::select(Box::pin(reading), ended).await;
    self.end_link(link);
  }
}
