use super::{
  platform::{Told, Trouble},
  *,
};

use super::run::{LOOK_MS, Run};

/// Injects faults, each from its beginning to its end.
impl Run {
  pub(super) async fn inject(&self, fault: Fault) -> Result {
    match fault {
      Fault::Change => self.change(),
      Fault::Crash { index, down_ms } => {
        self.boxes[index].crash_backend_server(down_ms).await;
        Ok(())
      }
      Fault::Cut { index, for_ms, one_way } => {
        self.boxes[index].silence(true, !one_way);
        self.record_box_faults(&[index], for_ms).await;
        // The withheld bytes are lost, as those of a sender that gave up.
        self.boxes[index].reset();
        self.boxes[index].silence(false, false);
        Ok(())
      }
      Fault::Delay { index, for_ms, delay_ms } => {
        self.boxes[index].delay(delay_ms);
        self.record_box_faults(&[index], for_ms).await;
        self.boxes[index].delay(0);
        Ok(())
      }
      Fault::Drain { index, keeps_id } => {
        self.boxes[index].backend_server.replace(keeps_id);
        Ok(())
      }
      Fault::EndsServers { crash_ms, for_ms, kind, pause_ms } => {
        self.end_servers(crash_ms, for_ms, kind, pause_ms).await;
        Ok(())
      }
      Fault::Foreign(foreign) => self.write_foreign(foreign).await,
      Fault::Freeze { index, for_ms } => {
        self.boxes[index].signal("STOP")?;
        self.record_box_faults(&[index], for_ms).await;
        self.boxes[index].signal("CONT").map(drop)
      }
      Fault::Hang { index, for_ms, most, slowness } => {
        let trouble = Trouble { hangs_above: most, slowness, ..Trouble::default() };
        self.boxes[index].backend_server.set_trouble(trouble);
        pause(for_ms).await;
        self.boxes[index].backend_server.set_trouble(Trouble::default());
        Ok(())
      }
      Fault::Misreport { index, for_ms, told } => {
        self.misreport(index, for_ms, told).await;
        Ok(())
      }
      Fault::Kill { indexes, down_ms } => self.kill(&indexes, down_ms).await,
      Fault::Reload { index } => self.boxes[index].signal("HUP").map(drop),
      Fault::Reset { index } => {
        self.boxes[index].reset();
        self.record_box_faults(&[index], 0).await;
        Ok(())
      }
      Fault::Sever { indexes } => {
        for index in &indexes {
          self.boxes[*index].sever();
        }
        self.record_box_faults(&indexes, 0).await;
        Ok(())
      }
      Fault::Stop { indexes, gap_ms } => {
        for index in indexes {
          self.stop(index).await?;
          pause(gap_ms).await;
        }
        Ok(())
      }
      Fault::Stall { index, for_ms } => {
        self.stall(index, for_ms).await;
        Ok(())
      }
      Fault::StoreSevers { indexes } => {
        for index in &indexes {
          self.boxes[*index].store.sever();
        }
        self.record_box_faults(&indexes, 0).await;
        Ok(())
      }
      Fault::StoreTurnsAway { indexes, for_ms } => {
        for index in &indexes {
          self.boxes[*index].store.silence(true, true);
        }
        self.record_box_faults(&indexes, for_ms).await;
        for index in &indexes {
          self.boxes[*index].store.reset();
          self.boxes[*index].store.silence(false, false);
        }
        Ok(())
      }
      Fault::StoreDown { .. }
      | Fault::StoreGoesBack { .. }
      | Fault::StoreForgets
      | Fault::StoreLoses { .. }
      | Fault::StoreSlow { .. } => {
        self.inject_at_store(fault).await;
        Ok(())
      }
    }
  }

  async fn misreport(&self, index: usize, for_ms: Ms, told: Told) {
    self.boxes[index].backend_server.tell(told);
    pause(for_ms).await;
    self.boxes[index].backend_server.tell(Told::True);
  }

  async fn stall(&self, index: usize, for_ms: Ms) {
    self.boxes[index].sever();
    self.record_box_faults(&[index], for_ms).await;
    self.boxes[index].resume();
  }

  pub(super) async fn write_foreign(&self, foreign: Foreign) -> Result {
    match foreign {
      Foreign::Configuration { form, for_ms } => {
        self
          .store
          .write_foreign(platform::CONFIGURATION, platform::foreign_items().swap_remove(form))?;
        pause(for_ms).await;
        let added = self.record.borrow().changes.len() - 1;
        self.store.accept(platform::shared_configuration(&SoakBox::SERVICES, added))
      }
      Foreign::Entry { form, index } => self
        .store
        .write_foreign(&platform::entry_key(index), platform::foreign_items().swap_remove(form)),
      Foreign::Report { index } => {
        for body in platform::foreign_reports() {
          let status = self.boxes[index].backend_server.call_daemon("heartbeat", &body).await;
          if status.is_some_and(|status| !status.is_client_error()) {
            let seen = format!("box {index} answers {status:?} to {body}");
            self.violate("reports of other writers are refused", seen);
          }
        }
        Ok(())
      }
    }
  }

  async fn inject_at_store(&self, fault: Fault) {
    /// Upper limit of the milliseconds for which the store loses answers.
    const LOSES_MS: Ms = 2_000;
    match fault {
      Fault::StoreDown { for_ms, lapse } => {
        self.store.set_faults(|faults| faults.down = true);
        self.record_store_fault(for_ms).await;
        if lapse {
          self.store.lapse();
        }
        self.store.set_faults(|faults| faults.down = false);
      }
      Fault::StoreGoesBack { age_ms, away_ms, rewritten_ms } => {
        let span = self.record.borrow_mut().store_faults.begin(self.now());
        self.store.go_back(Some(age_ms), away_ms).await;
        pause(rewritten_ms).await;
        let added = self.record.borrow().changes.len() - 1;
        if let Err(err) =
          self.store.accept(platform::shared_configuration(&SoakBox::SERVICES, added))
        {
          self.violate(
            "the soak itself works",
            format!("restoring the configuration failed: {err:?}"),
          );
        }
        self.record.borrow_mut().store_faults.end(span, self.now());
      }
      Fault::StoreLoses { late_ms, writes } => {
        self.store.set_faults(|faults| {
          faults.late_ms = late_ms;
          faults.lost_writes = writes;
        });
        self.record_store_fault(LOSES_MS).await;
        self.store.set_faults(|faults| faults.lost_writes = 0);
      }
      Fault::StoreSlow { for_ms, delay_ms } => {
        self.store.set_faults(|faults| faults.delay_ms = delay_ms);
        self.record_store_fault(for_ms).await;
        self.store.set_faults(|faults| faults.delay_ms = 0);
      }
      _ => self.store.forget(),
    }
  }

  /// Waits, and records the time as a fault of some boxes.
  async fn record_box_faults(&self, indexes: &[usize], for_ms: Ms) {
    let spans = self.begin_faults(indexes);
    pause(for_ms).await;
    self.end_faults(indexes, &spans);
  }

  fn begin_faults(&self, indexes: &[usize]) -> Vec<usize> {
    let (now, mut record) = (self.now(), self.record.borrow_mut());
    let mut begin = |index: &usize| record.box_faults.entry(*index).or_default().begin(now);
    indexes.iter().map(&mut begin).collect()
  }

  fn end_faults(&self, indexes: &[usize], spans: &[usize]) {
    let (now, mut record) = (self.now(), self.record.borrow_mut());
    for (index, span) in indexes.iter().zip(spans) {
      record.box_faults.entry(*index).or_default().end(*span, now);
    }
  }

  /// Waits, and records the time as a fault of the store.
  async fn record_store_fault(&self, for_ms: Ms) {
    let span = self.record.borrow_mut().store_faults.begin(self.now());
    pause(for_ms).await;
    self.record.borrow_mut().store_faults.end(span, self.now());
  }

  /// Adds a route, as the operators do.
  pub(super) fn change(&self) -> Result {
    let added = self.record.borrow().changes.len();
    self.store.accept(platform::shared_configuration(&SoakBox::SERVICES, added))?;
    let now = self.now();
    self.record.borrow_mut().changes.push(now);
    Ok(())
  }

  async fn kill(&self, indexes: &[usize], down_ms: Ms) -> Result {
    let spans = self.begin_faults(indexes);
    for index in indexes {
      self.boxes[*index].kill()?;
    }
    pause(down_ms).await;
    for index in indexes {
      self.boxes[*index].start()?;
    }
    self.end_faults(indexes, &spans);
    Ok(())
  }

  pub(super) async fn stop(&self, index: usize) -> Result {
    let (one, now) = (&self.boxes[index], self.now());
    let life = one.life.get();
    if !one.signal("TERM")? {
      return Ok(());
    }
    let span = self.record.borrow_mut().planned.entry(index).or_default().begin(now);
    self.record.borrow_mut().stops.push((index, now));
    // Another fault may have ended and restarted the daemon.
    while one.life.get() == life && !self.is_stopped(index, now)? {
      pause(LOOK_MS).await;
    }
    one.start()?;
    let now = self.now();
    self.record.borrow_mut().planned.entry(index).or_default().end(span, now);
    Ok(())
  }

  /// Whether a daemon that received SIGTERM has stopped. Kills a daemon that takes too long.
  fn is_stopped(&self, index: usize, asked_ms: Ms) -> Result<bool> {
    /// Milliseconds after its deadline at which a stop counts as failed.
    const LATE_MS: Ms = 2_000;
    if let Some(code) = self.boxes[index].exit_code()? {
      if code != 0 {
        self.violate("a planned stop ends in order", format!("box {index} exits with {code}"));
      }
      return Ok(true);
    }
    if self.now() <= asked_ms + SoakBox::STOP_MS + LATE_MS {
      return Ok(false);
    }
    let faults = self.record.borrow().box_faults.get(&index).cloned().unwrap_or_default();
    if !faults.overlaps(asked_ms, self.now()) {
      self.violate("a planned stop ends in time", format!("box {index} still runs"));
    }
    self.boxes[index].kill()
  }
}

async fn pause(for_ms: Ms) {
  monoio::time::sleep(Duration::from_millis(for_ms)).await;
}

impl Run {
  /// Sends a crashing request to one box after the other, whatever the answers are.
  pub(super) async fn end_servers(&self, crash_ms: Ms, for_ms: Ms, kind: Kind, pause_ms: Ms) {
    let number = {
      let mut record = self.record.borrow_mut();
      record.crashing_requests += 1;
      record.crashing_requests
    };
    let (method, body) = kind.request(&mut ChaCha8Rng::seed_from_u64(number as u64));
    let path = format!("{}ends-{number}", kind.path());
    let (pool, crash_ms) = (Rc::new(web::Pool::new(1_000)), crash_ms.to_string());
    let until = self.now() + for_ms;
    for attempt in 0.. {
      if self.now() >= until {
        return;
      }
      let index = attempt % self.boxes.len();
      let request = Request::builder()
        .method(method.clone())
        .uri(&path)
        .header(http::header::HOST, "soak.example")
        .header(platform::REQUEST_ID, CrashingRun::id(number, index, attempt))
        .header(platform::TIME_LEFT_MS, Self::ENDING_TIME_MS)
        .header(platform::CRASH_MS, &crash_ms)
        .header(platform::KEY, platform::key(number))
        .body(web::full(body.clone()))
        .expect("the head is constant");
      let sending = pool.exchange(self.boxes[index].callers, request, 1 << 20);
      let limit = Duration::from_millis(Self::ENDING_TIME_MS);
      // The backend servers record the effect; the answer doesn't matter.
      monoio::time::timeout(limit, sending).await.ok();
      monoio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
  }

  /// The timeout of a crashing request in milliseconds.
  const ENDING_TIME_MS: Ms = 1_000;
}
