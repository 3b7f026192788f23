//! Statements that change the configuration, and the restoring of the store.

use super::*;

/// Time in milliseconds until the retries of a change end.
const PATIENCE_MS: u64 = 5_000;

/// Number of older snapshots, and of archives, that are kept for rollbacks.
const SNAPSHOTS_KEPT: usize = 8;

/// Applies the changes of a script as one new version. A dry run only shows the difference.
pub async fn make(
  node: &Rc<Node>,
  bearer: &Bearer,
  script: &Script,
  request: StatementRequest,
) -> Result<Answer> {
  let shared = &node.shared;
  let held = shared.configuration().ok_or(Error::NoConfiguration)?;
  let old = recall::versions(node, script).await?;
  let boxes = boxes(node);
  let author = bearer.author();
  let operations = Plan::steps(script, &held, &author, &boxes, &old)?;
  if operations.is_empty() {
    return Ok(Answer::done("nothing to change").at(held.version));
  }
  let change = Change {
    base: held.version,
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
    return dry_run(node, &held, &change);
  }
  accept(node, held, change).await
}

/// Returns the service of each box.
fn boxes(node: &Node) -> BTreeMap<BoxId, ServiceName> {
  let distributor = node.distribution.distributor();
  let endpoints = distributor.endpoints().iter();
  endpoints.map(|one| (one.peer.box_id.clone(), one.service.clone())).collect()
}

/// Checks a change without making it; answers with the difference and the number of affected boxes.
fn dry_run(node: &Node, held: &Configuration, change: &Change) -> Result<Answer> {
  let accepted = held.accept(change, &[]);
  let accepted = accepted.map_err(|err| Error::Change(err.into()))?;
  let next = held.apply(&accepted).map_err(|err| Error::Change(err.into()))?;
  let boxes = node.distribution.distributor().endpoints().present().count();
  let message = format!(
    "nothing was changed; the change holds on version {} and would concern {boxes} boxes",
    held.version
  );
  Ok(Answer::table(message, questions::difference(held, &next)).at(held.version))
}

async fn accept(node: &Rc<Node>, held: Arc<Configuration>, change: Change) -> Result<Answer> {
  let shared = &node.shared;
  let id = change.id.clone();
  let deadline = shared.now().time.after(PATIENCE_MS);
  let acceptance = Acceptance::new(change, Some(held), deadline, shared.make_seed());
  match drive(shared, acceptance).await {
    Outcome::Accepted { version } => {
      node.distribution.handle(Event::Accepted { version });
      info!(shared.log.logger, "a change was accepted"; "version" => version.0);
      prune(shared);
      Ok(Answer::done(format!("accepted as version {version} (change {id})")).at(version))
    }
    Outcome::Refused(refused) => Err(Error::Change(refused)),
    Outcome::Unknown { reason } => Ok(Answer::unknown(format!(
      "unknown whether the change took effect ({reason}); ask `show change {id}`, or state it again \
       with --change-id {id}"
    ))),
  }
}

/// Runs the steps of an acceptance until it ends.
async fn drive(shared: &Shared, mut acceptance: Acceptance) -> Outcome {
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
  let Some((head, _)) = recall::head(shared).await? else {
    return Ok(());
  };
  // Old snapshots become surplus only when a change stores a new one.
  if head.version != head.snapshot_version {
    return Ok(());
  }
  let newest = keys::snapshot(head.snapshot_version, &head.snapshot_digest);
  let snapshots = recall::keys_under(shared, keys::snapshots()).await?;
  let older: Vec<&Entry> = snapshots.iter().filter(|entry| entry.key < newest).collect();
  let surplus = older.len().saturating_sub(SNAPSHOTS_KEPT);
  for entry in &older[..surplus] {
    shared.call_store(StoreRequest::Delete { key: entry.key.clone() }).await?;
  }
  let archives = recall::keys_under(shared, keys::archives()).await?;
  let surplus = archives.len().saturating_sub(SNAPSHOTS_KEPT);
  for entry in &archives[..surplus] {
    shared.call_store(StoreRequest::Delete { key: entry.key.clone() }).await?;
  }
  Ok(())
}

/// Writes this box's configuration back to a store that holds an older version or none.
pub async fn restore_store(node: &Rc<Node>) -> Result<Answer> {
  let shared = &node.shared;
  let held = shared.configuration().ok_or(Error::NoConfiguration)?;
  check_newest(node, &held).await?;
  let known = recall::head(shared).await?;
  if known.as_ref().is_some_and(|(head, _)| head.version >= held.version) {
    return Ok(Answer::done("the store holds the newest version already").at(held.version));
  }
  let history = node.distribution.distributor().catalog().history().to_vec();
  let digest = held.digest();
  let key = keys::snapshot(held.version, &digest);
  let value = held.encode();
  let written = shared.call_store(StoreRequest::Create { key, lease: None, value }).await;
  if !matches!(written, Ok(_) | Err(store::Error::Refused(store::Refusal::Exists))) {
    written?;
  }
  let head = Head {
    history,
    snapshot_digest: digest,
    snapshot_version: held.version,
    tail: Vec::new(),
    version: held.version,
  };
  let value = to_json(&head);
  let key = keys::head();
  let request = match known {
    Some((_, revision)) => StoreRequest::CompareAndSwap { key, revision, value },
    None => StoreRequest::Create { key, lease: None, value },
  };
  shared.call_store(request).await?;
  let message = format!("the store holds version {} again", held.version);
  Ok(Answer::done(message).at(held.version))
}

/// Fails if another box holds a newer version: only the newest one may be written back.
async fn check_newest(node: &Rc<Node>, held: &Configuration) -> Result {
  let inquired = node.distribution.ask(FleetQuestion::Rollout).await;
  let newer = inquired.reports.iter().find_map(|report| match report {
    Report::Applied { box_id, version: Some(version), .. } if *version > held.version => {
      Some((box_id, version))
    }
    _ => None,
  });
  match newer {
    Some((box_id, version)) => Err(Error::Unknown {
      what: format!("box {box_id} holds version {version}, which is newer: state it there"),
    }),
    None => Ok(()),
  }
}
