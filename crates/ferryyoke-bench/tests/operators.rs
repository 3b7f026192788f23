//! Tests of operator statements to real daemons: concurrent changes, refusals and queries.

mod support;

use {
  ferryyoke::{
    administration::{Answer, AnswerOutcome, StatementRequest},
    commands::query,
    fake::StoreFaults,
  },
  ferryyoke_bench::{Error, Fleet, Result},
  std::collections::BTreeMap,
  support::{fleet, run},
};

/// Number of concurrent operators.
const OPERATORS: usize = 6;

/// Number of rounds per operator; each round changes a route of its own and the shared route.
const CHANGES: usize = 8;

/// The answer to one change and the path segment that identifies the change in the history.
struct ChangeResult {
  answer: Answer,
  route: String,
}

/// Runs one operator, which sends changes to one daemon: to its own routes and to a shared route
/// that all operators change.
async fn run_operator(fleet: &Fleet, operator: usize) -> Result<Vec<ChangeResult>> {
  let mut results = Vec::new();
  for change in 0..CHANGES {
    let route = format!("own-{operator}-{change}");
    let text = format!("create route {route} path /{route} service archive");
    let one = &fleet.boxes[operator % fleet.boxes.len()];
    results.push(ChangeResult { answer: one.run_statements(&text).await?, route });
    let contended = format!("set route shared path /shared-{operator}-{change}");
    let answer = one.run_statements(&contended).await?;
    results.push(ChangeResult { answer, route: format!("shared-{operator}-{change}") });
  }
  Ok(results)
}

#[test]
fn concurrent_operators_produce_one_consistent_history() {
  run(async {
    let fleet = fleet().boxes(6).start()?;
    fleet.configure().await?;
    let first = fleet.change(0, "create route shared path /shared service archive").await?;
    fleet.wait_for_version(first).await?;
    let faults = StoreFaults { lose_answers: 40, ..StoreFaults::default() };
    fleet.set_store_faults(&faults).await?;
    let operators = (0..OPERATORS).map(|operator| run_operator(&fleet, operator));
    let results = futures_util::future::join_all(operators).await;
    let results: Vec<ChangeResult> =
      results.into_iter().collect::<Result<Vec<_>>>()?.into_iter().flatten().collect();
    fleet.set_store_faults(&StoreFaults::default()).await?;
    let last = fleet.change(1, "create route last path /last service archive").await?;
    fleet.wait_for_version(last).await?;

    let history = fleet.boxes[2].run_statements("history 200").await?;
    check_history(&history, &results);
    for one in &fleet.boxes {
      assert_eq!(one.run_statements("history 200").await?.table, history.table, "{}", one.box_id);
    }
    Ok(())
  });
}

/// Checks that each version comes from one change, that each acknowledged change created the
/// version in its answer, and that no refused change created a version.
fn check_history(history: &Answer, results: &[ChangeResult]) {
  let column = |name: &str| {
    history.table.columns.iter().position(|column| column == name).expect("the column exists")
  };
  let (version, statement) = (column("version"), column("statement"));
  let mut by_version = BTreeMap::new();
  for row in &history.table.rows {
    let known = by_version.insert(row[version].as_u64(), row[statement].as_str().unwrap_or(""));
    assert_eq!(known, None, "the history has a version twice");
  }
  let newest = by_version.keys().max().copied().flatten();
  assert_eq!(newest, Some(by_version.len() as u64), "the history skips a version");
  let mut acknowledged = 0;
  for ChangeResult { answer, route } in results {
    let made: Vec<&Option<u64>> = by_version
      .iter()
      .filter(|(_, statement)| {
        statement.contains(&format!("/{route} ")) || statement.ends_with(&format!("/{route}"))
      })
      .map(|(version, _)| version)
      .collect();
    match answer.outcome {
      AnswerOutcome::Done => {
        acknowledged += 1;
        let version = answer.version.map(|version| version.0);
        assert_eq!(made, [&version], "{route}: {}", answer.message);
      }
      AnswerOutcome::Refused => {
        assert!(made.is_empty(), "{route} was refused but created versions {made:?}");
      }
      AnswerOutcome::Unknown => assert!(made.len() <= 1, "{route} created versions {made:?}"),
    }
  }
  assert!(acknowledged >= OPERATORS * CHANGES, "only {acknowledged} changes were acknowledged");
}

#[test]
fn invalid_statements_are_refused_with_a_reason_and_change_nothing() {
  run(async {
    let fleet = fleet().boxes(2).data_halls(1).start()?;
    let version = fleet.configure().await?;
    let large = format!("apply {{\"routes\":{{\"a\":\"{}\"}}}}", "x".repeat(2_000_000));
    let expectations = [
      ("create rout a", "did you mean `route`?"),
      ("create route a path", "column 20"),
      ("set route archiv path /x", "did you mean `route archive`?"),
      ("create route a path /a service nobody", "route a names service nobody"),
      ("create route archive path /b service archive", "exists already"),
      ("create route twin path /archive service archive", "match the same requests"),
      ("delete service archive", "route archive names service archive"),
      ("if version 99 delete route archive", "the newest version is 1, not 99"),
      ("set policy plain attempts 99", "out of its limits"),
      ("drain box-9", "there is no box box-9"),
      ("rollback to 77", "is not kept"),
      ("why request nobody-1", "no box remembers request nobody-1"),
      ("why box box-000 holds route nothing", "there is no route nothing"),
      ("show route nothing", "there is no route nothing"),
      (large.as_str(), "at most"),
    ];
    for (text, expected) in expectations {
      let answer = fleet.boxes[0].run_statements(text).await?;
      let shown = &text[..text.len().min(60)];
      assert_eq!(answer.outcome, AnswerOutcome::Refused, "{shown}: {}", answer.message);
      assert!(answer.message.contains(expected), "{shown}: {}", answer.message);
    }
    let rollout = fleet.boxes[0].run_statements("rollout").await?;
    assert_eq!(rollout.version, Some(version), "a refused statement created a version");
    Ok(())
  });
}

#[test]
fn applying_an_exported_document_changes_only_what_differs() {
  run(async {
    let fleet = fleet().boxes(2).data_halls(1).start()?;
    let version = fleet.configure().await?;
    let exported = fleet.boxes[0].run_statements("export").await?;
    let document = exported.document.expect("a document");
    let again = fleet.boxes[1].run_statements(&format!("apply {document}")).await?;
    assert_eq!(again.message, "nothing to change");
    let dropped = fleet.change(0, "delete route intake").await?;
    fleet.wait_for_version(dropped).await?;
    let back = fleet.change(1, &format!("apply {document}")).await?;
    fleet.wait_for_version(back).await?;
    let rolled_back = fleet.change(0, &format!("rollback to {dropped}")).await?;
    fleet.wait_for_version(rolled_back).await?;
    let difference =
      fleet.boxes[1].run_statements(&format!("difference {dropped} {rolled_back}")).await?;
    assert!(difference.table.rows.is_empty(), "{difference}");
    let difference =
      fleet.boxes[1].run_statements(&format!("difference {version} {rolled_back}")).await?;
    assert_eq!(difference.table.rows.len(), 1, "{difference}");
    Ok(())
  });
}

#[test]
fn tokens_and_teams_limit_what_an_operator_may_do() {
  run(async {
    let fleet = fleet()
      .boxes(1)
      .token("an administrator's token", "ada", "administrator", "operators")
      .token("an editor's token", "eve", "editor", "clerks")
      .token("a reader's token", "ray", "reader", "clerks")
      .start()?;
    let address = fleet.boxes[0].administration;
    let state = async |token: Option<&str>, text: &str| {
      let request = StatementRequest { change_id: None, text: text.into() };
      query::send_script(address, token, &request).await.map_err(Error::Ask)
    };
    while fleet.boxes[0].scrape().await.is_err()
      || state(Some("a reader's token"), "export").await?.document.is_none()
    {
      support::pause_ms(50).await;
    }
    let (ada, eve, ray) =
      (Some("an administrator's token"), Some("an editor's token"), Some("a reader's token"));
    let refused = async |token, text: &str, expected: &str| {
      let answer = state(token, text).await?;
      assert_eq!(answer.outcome, AnswerOutcome::Refused, "{text}");
      assert!(answer.message.contains(expected), "{text}: {}", answer.message);
      Ok::<_, Error>(())
    };
    refused(None, "fleet", "no valid token").await?;
    refused(Some("a guess"), "fleet", "no valid token").await?;
    refused(ray, "create policy a", "your role does not allow").await?;
    let made = state(ada, "create policy shared; create service s policy shared").await?;
    assert_eq!(made.outcome, AnswerOutcome::Done, "{}", made.message);
    fleet.wait_for_version(made.version.expect("a version")).await?;
    refused(eve, "set policy shared attempts 4", "belongs to team operators").await?;
    refused(eve, "create policy theirs owner operators", "belongs to team operators").await?;
    refused(eve, "set log level debug", "your role does not allow").await?;
    let own = state(eve, "create policy own").await?;
    assert_eq!(own.outcome, AnswerOutcome::Done, "{}", own.message);
    fleet.wait_for_version(own.version.expect("a version")).await?;
    let history = state(ray, "history 1").await?;
    assert_eq!(history.table.rows[0][2], "eve", "{history}");
    assert!(!fleet.boxes[0].log().contains("token"), "the log mentions a token");
    Ok(())
  });
}

#[test]
fn any_daemon_explains_how_a_request_was_routed() {
  run(async {
    let mut fleet = fleet().boxes(6).start()?;
    fleet.configure().await?;
    let id = "asked-about-1";
    let request = http::Request::get("/archive/7")
      .header("host", fleet.boxes[4].callers.to_string())
      .header("x-ferryyoke-request-id", id)
      .body(ferryyoke::web::empty())
      .map_err(|err| Error::Unexpected(err.to_string()))?;
    let pool = std::rc::Rc::new(ferryyoke::web::Pool::new(1_000));
    let (status, _) = pool.exchange(fleet.boxes[4].callers, request, 1 << 20).await?;
    assert_eq!(status, 200);
    let why = fleet.boxes[1].run_statements(&format!("why request {id}")).await?;
    let text = why.to_string();
    for fact in ["by route archive of version 1", "carried by", "box-004", "chosen"] {
      assert!(text.contains(fact), "`{fact}` is not in {text}");
    }
    fleet.boxes[4].kill()?;
    let unavailable = fleet.boxes[1].run_statements(&format!("why request {id}")).await?;
    assert_eq!(unavailable.outcome, AnswerOutcome::Refused);
    assert!(unavailable.message.contains("no box remembers"), "{}", unavailable.message);
    Ok(())
  });
}
