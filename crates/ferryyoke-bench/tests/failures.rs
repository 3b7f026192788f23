//! Tests of real daemon processes that are killed, paused, stopped, or cut off from the store.

mod support;

use {
  ferryyoke::{
    administration::AnswerOutcome,
    fake::{BackendFaults, StoreFaults},
    values::Version,
  },
  ferryyoke_bench::Generator,
  std::time::Duration,
  support::{a_relay, a_subscriber, fleet, pause_ms, run, status},
};

#[test]
fn other_daemons_serve_while_one_is_killed_and_it_recovers_after_a_restart() {
  run(async {
    let mut fleet = fleet().boxes(9).start()?;
    fleet.configure().await?;
    fleet.boxes[3].kill()?;
    for index in 0..60 {
      let one = &fleet.boxes[[0, 1, 2, 4, 5, 6, 7, 8][index % 8]];
      let (status, body) = one.get("/archive/1").await?;
      assert_eq!(status, 200, "{}: {body:?}", one.box_id);
    }
    let version = fleet.change(0, "create route new path /new service archive").await?;
    fleet.boxes[3].start()?;
    fleet.wait_for_version(version).await?;
    let (status, _) = fleet.boxes[3].get("/new").await?;
    assert_eq!(status, 200);
    Ok(())
  });
}

#[test]
fn killing_a_daemon_under_load_fails_at_most_one_request_sent_to_other_daemons() {
  run(async {
    let mut fleet = fleet().boxes(9).start()?;
    let version = fleet.configure().await?;
    let others = fleet.boxes.iter().filter(|one| one.box_id != "box-003");
    let generator = Generator {
      addresses: others.map(|one| one.callers).collect(),
      duration: Duration::from_secs(5),
      path: "/archive/1".into(),
      per_second: Some(400.0),
      threads: 8,
    };
    let load = std::thread::spawn(move || generator.run());
    pause_ms(1_500).await;
    fleet.boxes[3].kill()?;
    pause_ms(1_500).await;
    fleet.boxes[3].start()?;
    fleet.wait_for_version(version).await?;
    let result = load.join().expect("the load thread does not panic")?;
    // A request can't be retried once the killed box has sent the response head but not the whole
    // body. At most one request is in that state when the daemon is killed.
    assert!(result.failed <= 1, "{} requests failed", result.failed);
    assert!(result.latency_us.len() > 1_000, "{} were answered", result.latency_us.len());
    assert_eq!(fleet.boxes[3].get("/archive/1").await?.0, 200);
    Ok(())
  });
}

#[test]
fn a_paused_relay_is_replaced_and_does_not_revert_versions_when_it_resumes() {
  run(async {
    let mut fleet = fleet().boxes(9).data_halls(1).start()?;
    fleet.configure().await?;
    let relay = a_relay(&fleet).await?;
    let other = a_subscriber(&fleet).await?;
    fleet.boxes[relay].signal("STOP")?;
    let version = fleet.change(other, "create route new path /new service archive").await?;
    let paused = fleet.boxes[relay].daemon.take();
    fleet.wait_for_version(version).await?;
    pause_ms(6_000).await;
    let newer = fleet.change(other, "delete route new").await?;
    fleet.wait_for_version(newer).await?;
    fleet.boxes[relay].daemon = paused;
    fleet.boxes[relay].signal("CONT")?;
    fleet.wait_for_version(newer).await?;
    pause_ms(2_000).await;
    for one in &fleet.boxes {
      assert_eq!(
        one.scrape().await?.version(),
        newer,
        "{} does not apply the newest version",
        one.box_id
      );
    }
    let (relays, boxes) = (count_relays(&fleet).await?, fleet.boxes.len());
    assert!((2..=3).contains(&relays), "{relays} of {boxes} boxes are relays");
    Ok(())
  });
}

/// Returns the number of boxes that hold a relay slot.
async fn count_relays(fleet: &ferryyoke_bench::Fleet) -> ferryyoke_bench::Result<usize> {
  let mut relays = 0;
  for one in &fleet.boxes {
    relays += usize::from(!status(one, "slot").await?.is_null());
  }
  Ok(relays)
}

#[test]
fn a_store_outage_causes_only_changes_to_be_refused() {
  run(async {
    let mut fleet = fleet().boxes(6).prepare()?;
    for one in &mut fleet.boxes[..5] {
      one.start()?;
    }
    let late = fleet.boxes.pop().expect("a sixth box");
    fleet.configure().await?;
    let faults = StoreFaults { down: true, ..StoreFaults::default() };
    fleet.set_store_faults(&faults).await?;

    let answer =
      fleet.boxes[0].run_statements("create route new path /new service archive").await?;
    assert_eq!(answer.outcome, AnswerOutcome::Refused, "{}", answer.message);
    assert!(answer.message.contains("once the store answers"), "{}", answer.message);
    for one in &fleet.boxes {
      assert_eq!(one.get("/archive/1").await?.0, 200, "{}", one.box_id);
    }
    fleet.boxes.push(late);
    fleet.boxes[5].start()?;
    fleet.wait_for_version(Version(1)).await?;
    assert_eq!(fleet.boxes[5].get("/archive/1").await?.0, 200);

    fleet.set_store_faults(&StoreFaults::default()).await?;
    let version = fleet.change(2, "create route newer path /newer service archive").await?;
    fleet.wait_for_version(version).await?;
    Ok(())
  });
}

#[test]
fn a_store_rolled_back_to_an_older_state_is_detected_and_repaired() {
  run(async {
    let fleet = fleet().boxes(4).data_halls(2).start()?;
    fleet.configure().await?;
    fleet.save_store().await?;
    let version = fleet.change(0, "create route new path /new service archive").await?;
    fleet.wait_for_version(version).await?;
    fleet.restore_store().await?;
    pause_ms(1_500).await;
    let refused =
      fleet.boxes[1].run_statements("create route other path /other service archive").await?;
    assert_eq!(refused.outcome, AnswerOutcome::Refused);
    assert!(refused.message.contains("restore store"), "{}", refused.message);
    let repaired = fleet.boxes[1].run_statements("restore store").await?;
    assert_eq!(repaired.outcome, AnswerOutcome::Done, "{}", repaired.message);
    let next = fleet.change(2, "create route other path /other service archive").await?;
    assert_eq!(next, version.next());
    fleet.wait_for_version(next).await?;
    Ok(())
  });
}

#[test]
fn a_planned_stop_completes_requests_in_flight() {
  run(async {
    let mut fleet = fleet().boxes(6).start()?;
    fleet.configure().await?;
    let slow = BackendFaults { delay_ms: 4_000, ..BackendFaults::default() };
    for one in &fleet.boxes {
      one.set_backend_faults(&slow).await?;
    }
    let callers = fleet.boxes[0].callers;
    let request = std::thread::spawn(move || {
      ferryyoke::commands::block_on(async move {
        let pool = std::rc::Rc::new(ferryyoke::web::Pool::new(1_000));
        let request = http::Request::get("/archive/slow").header("host", callers.to_string());
        let request = request.body(ferryyoke::web::empty()).expect("a request");
        pool.exchange(callers, request, 1 << 20).await.map(|(status, _)| status)
      })
    });
    pause_ms(500).await;
    fleet.boxes[0].signal("TERM")?;
    let code = fleet.boxes[0].exit_code(Duration::from_secs(20)).await?;
    assert_eq!(code, 0);
    let status =
      request.join().expect("the caller thread does not panic").expect("the event loop starts");
    assert_eq!(status.expect("the response is complete"), 200);
    Ok(())
  });
}

#[test]
fn a_second_daemon_on_the_same_ports_fails_to_start() {
  run(async {
    let fleet = fleet().boxes(1).start()?;
    fleet.wait_until_ready().await?;
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_ferryyoke-bench"))
      .args(["as-ferryyoke", "run", "--settings"])
      .arg(fleet.boxes[0].settings_path())
      .env("FERRYYOKE_FLEET_KEY", "the key of a fleet on loopback")
      .output()?;
    assert_eq!(output.status.code(), Some(1));
    let stderr = String::from_utf8_lossy(&output.stderr).to_string();
    assert!(stderr.contains("cannot listen on"), "{stderr}");
    Ok(())
  });
}
