use super::*;

/// A development deployment that runs in this process.
pub struct Mesh {
  /// The boxes.
  pub boxes: Vec<DevBox>,
  /// The store.
  pub store: StoreServer,
}

/// The secret of the fleet key. It never leaves this process, and protects loopback links only.
const FLEET_KEY: &str = "the key of a deployment on loopback";

/// The plan of a box that is to be started.
pub struct BoxPlan {
  box_id: String,
  data_hall: &'static str,
  service: &'static str,
  slots: u32,
}

impl Mesh {
  /// Longest wait in seconds for the deployment to reach a state.
  const WAIT_SECONDS_MAX: u64 = 30;

  /// The first configuration of the deployment.
  const CONFIGURATION: &'static str = "
    reason \"the first configuration\"
    create policy browsing attempts 3 deadline_ms 10000 queue_length 24;
    create policy certifying attempts 2 deadline_ms 20000 queue_length 24;
    create policy uploading attempts 2 deadline_ms 3600000 queue_length 6;
    create service minutes-archive policy browsing;
    create service certification policy certifying;
    create service recording-intake policy uploading;
    create route minutes path /minutes service minutes-archive;
    create route certify path /certify service certification repeatable no;
    create route recordings path /recordings service recording-intake";

  /// Plans the boxes of the example deployment: three services in three data halls.
  pub fn example_plans() -> Vec<BoxPlan> {
    const DATA_HALLS: [&str; 3] = ["nyarugenge", "kacyiru", "remera"];
    let services = [("minutes-archive", 6), ("certification", 4), ("recording-intake", 3)];
    let plans = services.into_iter().flat_map(|(service, count)| {
      (0..count).map(move |index: usize| BoxPlan {
        box_id: format!("{service}-{}", index + 1),
        data_hall: DATA_HALLS[index % DATA_HALLS.len()],
        service,
        slots: 12,
      })
    });
    plans.collect()
  }

  /// Starts a deployment on loopback ports that the kernel selects.
  pub fn start(plans: Vec<BoxPlan>) -> Result<Self> {
    let store = StoreServer::start(loopback()?)?;
    let mut bound = Vec::new();
    for plan in plans {
      let listeners = Listeners {
        deployment: None,
        administration: loopback()?,
        callers: loopback()?,
        forward: loopback()?,
        links: loopback()?,
      };
      bound.push((plan, listeners));
    }
    let peers = bound.iter().map(|(plan, listeners)| plan.peer(listeners));
    let peers: Vec<Peer> = peers.collect::<Result<_>>()?;
    let mut boxes = Vec::new();
    for (plan, listeners) in bound {
      boxes.push(plan.start(listeners, &peers, store.address)?);
    }
    Ok(Self { boxes, store })
  }

  /// Applies the first configuration, and waits until every box has it and knows all backend
  /// servers.
  pub async fn wait_until_ready(&self) -> Result {
    self
      .wait_for("every box to hold a configuration", || {
        self.boxes.iter().all(|one| one.daemon.node.shared.configuration().is_some())
      })
      .await?;
    let answer = self.boxes[0].execute(Self::CONFIGURATION).await?;
    let version = accepted_version(&answer)?;
    self.wait_for_version(version).await?;
    self.wait_for("every box to know every backend server", || self.all_are_live()).await
  }

  fn all_are_live(&self) -> bool {
    let knows_all = |one: &DevBox| {
      let distributor = one.daemon.node.distribution.distributor();
      let live = distributor
        .endpoints()
        .iter()
        .filter(|endpoint| endpoint.state == crate::fleet::EndpointState::Live);
      live.count() == self.boxes.len()
    };
    self.boxes.iter().all(knows_all)
  }

  /// Waits until every box applies a version.
  pub async fn wait_for_version(&self, version: Version) -> Result {
    self
      .wait_for(&format!("every box to apply version {version}"), || {
        self.boxes.iter().all(|one| {
          one.daemon.node.shared.configuration().is_some_and(|held| held.version >= version)
        })
      })
      .await
  }

  /// Waits for `condition`. `what` describes it in the error after a timeout.
  pub async fn wait_for(&self, what: &str, condition: impl Fn() -> bool) -> Result {
    let started = Instant::now();
    while !condition() {
      if started.elapsed().as_secs() >= Self::WAIT_SECONDS_MAX {
        return Err(Error::Step(format!("waited {} s for {what}", Self::WAIT_SECONDS_MAX)));
      }
      monoio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(())
  }

  /// The boxes that serve a service.
  pub fn boxes_of(&self, service: &str) -> Vec<&DevBox> {
    self.boxes.iter().filter(|one| one.service().as_str() == service).collect()
  }
}

impl BoxPlan {
  fn peer(&self, listeners: &Listeners) -> Result<Peer> {
    Ok(Peer {
      address: listeners.links.address()?,
      box_id: self.box_id.parse().expect("a valid name"),
      data_hall: self.data_hall.parse().expect("a valid name"),
    })
  }

  fn start(self, listeners: Listeners, peers: &[Peer], store: SocketAddr) -> Result<DevBox> {
    let backend_server = BackendServer::start(loopback()?, &self.box_id)?;
    let settings = serde_json::json!({
      "addresses": {
        "administration": listeners.administration.address()?,
        "callers": listeners.callers.address()?,
        "forward": listeners.forward.address()?,
        "links": listeners.links.address()?,
      },
      "backend_server": {
        "address": backend_server.address, "connections": 130, "slots": self.slots,
      },
      "box": self.box_id,
      "data_hall": self.data_hall,
      "fleet_key": { "environment": "FERRYYOKE_FLEET_KEY" },
      "peers": peers,
      "profile": "prompt",
      "region": "kigali",
      "service": self.service,
      "store": { "address": store },
    });
    let settings = Settings::parse(&settings.to_string(), &|_| Some(FLEET_KEY.into()))?;
    let log = Log::new(LogFormat::Terminal, LogLevel::Warning);
    let clock = Rc::new(SystemClock::new());
    let daemon = Daemon::start(settings, listeners, clock, log, rand::random());
    Ok(DevBox { backend_server, daemon })
  }
}

fn loopback() -> io::Result<Listener> {
  Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
}

/// The version that an accepted change created.
pub fn accepted_version(answer: &Answer) -> Result<Version> {
  let version = answer.version.filter(|_| answer.outcome == AnswerOutcome::Done);
  version.ok_or_else(|| Error::Step(format!("a change was not accepted: {}", answer.message)))
}

impl Display for Mesh {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    writeln!(f, "{:20} {:12} {:22} {:22}", "box", "data hall", "callers", "administration")?;
    for one in &self.boxes {
      let data_hall = &one.daemon.node.shared.settings.data_hall;
      let (callers, administration) = (one.callers(), one.administration());
      writeln!(f, "{:20} {data_hall:12} {callers:<22} {administration:<22}", one.box_id())?;
    }
    let first = &self.boxes[0];
    writeln!(f, "\ntry:")?;
    writeln!(f, "  curl -i http://{}/minutes/2026-11", first.callers())?;
    writeln!(f, "  ferryyoke query --admin {} fleet", first.administration())?;
    writeln!(
      f,
      "  ferryyoke query --admin {} 'create route archive path /archive service minutes-archive'",
      first.administration()
    )?;
    writeln!(f, "\nCtrl-C ends it")
  }
}
