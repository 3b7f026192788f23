//! Statements that change the configuration, and the restoring of the store.

use super::*;

/// Time in milliseconds until the retries of a change end.
const RETRY_LIMIT_MS: u64 = 5_000;

/// Number of older snapshots, and of archives, that are kept for rollbacks.
const SNAPSHOTS_KEPT: usize = 8;

/// Applies the changes of a script as one new version. A dry run only shows the difference.
pub async fn apply(
  node: &Rc<Node>,
  principal: &Principal,
  script: &Script,
  request: StatementRequest,
) -> Result<Answer> {
  let shared = &node.shared;
  let current = shared.configuration().ok_or(Error::NoConfiguration)?;
  let old = stored_versions::load_rollback_targets(node, script).await?;
  let services = services_by_box(node);
  let author = principal.author();
  let operations = Plan::operations(script, &current, &author, &services, &old)?;
  if operations.is_empty() {
    return Ok(Answer::done("nothing to change").with_version(current.version));
  }
  let change = Change {
    base: current.version,
    id: request.change_id.unwrap_or_else(|| shared.names.change_id()),
    only_at: script.only_at,
    operations,
    operator: author.operator,
    reason: script.reason.clone().unwrap_or_default(),
    statement: request.text,
    team: author.team,
    unix_ms: shared.now().unix_ms,
  };
  if script.dry_run {
    return dry_run(node, &current, &change);
  }
  accept(node, current, change).await
}

/// Returns the service of each box.
fn services_by_box(node: &Node) -> BTreeMap<BoxId, ServiceName> {
  let distributor = node.distribution.distributor();
  let endpoints = distributor.endpoints().iter();
  endpoints.map(|one| (one.peer.box_id.clone(), one.service.clone())).collect()
}

/// Checks a change without making it; answers with the difference and the number of affected boxes.
fn dry_run(node: &Node, current: &Configuration, change: &Change) -> Result<Answer> {
  let accepted = current.accept(change, &[]);
  let accepted = accepted.map_err(|err| Error::ChangeRefused(err.into()))?;
  let next = current.apply(&accepted).map_err(|err| Error::ChangeRefused(err.into()))?;
  let boxes = node.distribution.distributor().endpoints().present().count();
  let message = format!(
    "nothing was changed; the change holds on version {} and would concern {boxes} boxes",
    current.version
  );
  Ok(Answer::table(message, questions::difference(current, &next)).with_version(current.version))
}

async fn accept(node: &Rc<Node>, current: Arc<Configuration>, change: Change) -> Result<Answer> {
  let shared = &node.shared;
  let id = change.id.clone();
  let deadline = shared.now().time.after(RETRY_LIMIT_MS);
  let acceptance = Acceptance::new(change, Some(current), deadline, shared.make_seed());
  match run(shared, acceptance).await {
    Outcome::Accepted { version } => {
      node.distribution.handle(Event::Accepted { version });
      info!(shared.log.logger, "a change was accepted"; "version" => version.0);
      prune(shared);
      Ok(Answer::done(format!("accepted as version {version} (change {id})")).with_version(version))
    }
    Outcome::Refused(refused) => Err(Error::ChangeRefused(refused)),
    Outcome::Unknown { reason } => Ok(Answer::unknown(format!(
      "unknown whether the change took effect ({reason}); ask `show change {id}`, or state it again \
       with --change-id {id}"
    ))),
  }
}

/// Runs the steps of an acceptance until it ends.
async fn run(shared: &Shared, mut acceptance: Acceptance) -> Outcome {
  let mut step = acceptance.resume();
  loop {
    step = match step {
      AcceptanceStep::Call(request) => {
        let result = shared.call_store(request).await;
        acceptance.answered(shared.now().time, result)
      }
      AcceptanceStep::Done(outcome) => return outcome,
      AcceptanceStep::Wait { pause_ms } => {
        timer::sleep(Duration::from_millis(pause_ms)).await;
        acceptance.resume()
      }
    };
  }
}

/// Removes the snapshots and archives beyond `SNAPSHOTS_KEPT` in the background, so that the answer
/// does not wait.
fn prune(shared: &Rc<Shared>) {
  let shared = shared.clone();
  monoio::spawn(async move {
    if let Err(err) = remove_old(&shared).await {
      debug!(shared.log.logger, "cannot remove old snapshots"; "why" => err.to_string());
    }
  });
}

async fn remove_old(shared: &Shared) -> Result {
  let Some((head, _)) = stored_versions::read_head(shared).await? else {
    return Ok(());
  };
  // Old snapshots become surplus only when a change stores a new one.
  if head.version != head.snapshot_version {
    return Ok(());
  }
  let newest = keys::snapshot(head.snapshot_version, &head.snapshot_digest);
  let snapshots = stored_versions::list_entries(shared, keys::snapshots()).await?;
  let older: Vec<&Entry> = snapshots.iter().filter(|entry| entry.key < newest).collect();
  let surplus = older.len().saturating_sub(SNAPSHOTS_KEPT);
  for entry in &older[..surplus] {
    shared.call_store(StoreRequest::Delete { key: entry.key.clone() }).await?;
  }
  let archives = stored_versions::list_entries(shared, keys::archives()).await?;
  let surplus = archives.len().saturating_sub(SNAPSHOTS_KEPT);
  for entry in &archives[..surplus] {
    shared.call_store(StoreRequest::Delete { key: entry.key.clone() }).await?;
  }
  Ok(())
}

/// Writes this box's configuration back to a store that holds an older version or none.
pub async fn restore_store(node: &Rc<Node>) -> Result<Answer> {
  let shared = &node.shared;
  let current = shared.configuration().ok_or(Error::NoConfiguration)?;
  check_newest(node, &current).await?;
  let known = stored_versions::read_head(shared).await?;
  if known.as_ref().is_some_and(|(head, _)| head.version >= current.version) {
    return Ok(
      Answer::done("the store holds the newest version already").with_version(current.version),
    );
  }
  let history = node.distribution.distributor().catalog().history().to_vec();
  let digest = current.digest();
  let key = keys::snapshot(current.version, &digest);
  let value = current.encode();
  let written = shared.call_store(StoreRequest::Create { key, lease: None, value }).await;
  if !matches!(written, Ok(_) | Err(store::Error::Refused(store::Refusal::Exists))) {
    written?;
  }
  let head = Head {
    history,
    snapshot_digest: digest,
    snapshot_version: current.version,
    tail: Vec::new(),
    version: current.version,
  };
  let value = to_json(&head);
  let key = keys::head();
  let request = match known {
    Some((_, revision)) => StoreRequest::CompareAndSwap { key, revision, value },
    None => StoreRequest::Create { key, lease: None, value },
  };
  shared.call_store(request).await?;
  let message = format!("the store holds version {} again", current.version);
  Ok(Answer::done(message).with_version(current.version))
}

/// Fails if another box holds a newer version: only the newest one may be written back.
async fn check_newest(node: &Rc<Node>, current: &Configuration) -> Result {
  let replies = node.distribution.ask(FleetQuestion::Rollout).await;
  let newer = replies.reports.iter().find_map(|report| match report {
    Report::Applied { box_id, version: Some(version), .. } if *version > current.version => {
      Some((box_id, version))
    }
    _ => None,
  });
  match newer {
    Some((box_id, version)) => Err(Error::NotFound {
      what: format!("box {box_id} holds version {version}, which is newer: state it there"),
    }),
    None => Ok(()),
  }
}
