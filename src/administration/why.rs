//! Answers to `why` and `explain`.

use super::*;

use serde_json::json;

/// Shows why a box holds a route: the change that set it, and how the box received it.
pub async fn route_on_box(node: &Rc<Node>, box_id: &BoxId, route: &RouteName) -> Result<Answer> {
  let held = node.shared.configuration().ok_or(Error::NoConfiguration)?;
  let name = ObjectName::Route(route.clone());
  let mut table = Table::new(&["fact", "value"]);
  if let Some(revision) = held.revision(&name) {
    table.add_row([json!("route"), json!(name.to_string())]);
    table.add_row([json!("changed last in version"), json!(revision)]);
    add_author(&mut table, node, revision);
  } else {
    let known: Vec<&str> = held.routes.keys().map(RouteName::as_str).collect();
    let version = held.version;
    let what = match held.omissions.iter().find(|omission| omission.item == name.to_string()) {
      Some(omission) => format!("{omission}; version {version} is in force without it"),
      None => format!("there is no {name} in version {version}: see {}", known.join(", ")),
    };
    return Err(Error::NotFound { what });
  }
  let question = FleetQuestion::Held { box_id: box_id.clone() };
  let replies = node.distribution.ask(question).await;
  let report = replies.reports.into_iter().find_map(|report| match report {
    Report::Held { box_id: found, provenance, refusals, store_age_ms, version }
      if found == *box_id =>
    {
      Some((provenance, refusals, store_age_ms, version))
    }
    _ => None,
  });
  let Some((provenance, refusals, store_age_ms, version)) = report else {
    let known = node.distribution.distributor().endpoints().get(box_id).map(|one| one.state);
    let state = known.map_or("unknown to the fleet".into(), |state| state.to_string());
    let distributor = node.distribution.distributor();
    let entry = distributor.unreadable_entry(box_id).map(|entry| format!("; {entry}"));
    let entry = entry.unwrap_or_default();
    return Err(Error::NotFound {
      what: format!(
        "box {box_id} does not answer; it is {state}, and what it holds is lost{entry}"
      ),
    });
  };
  for omission in &held.omissions {
    table.add_row([json!("left out of the version"), json!(omission.to_string())]);
  }
  table.add_row([json!("box"), json!(box_id)]);
  table.add_row([json!("holds version"), json!(version)]);
  table.add_row([json!("confirmed by the store, ms ago"), json!(store_age_ms)]);
  let revision = held.revision(&name);
  let source = provenance.iter().find(|one| Some(one.version) >= revision);
  if let Some(source) = source {
    let from = source.from.as_ref().map_or("the store".into(), |from| format!("box {from}"));
    table.add_row([json!("received from"), json!(from)]);
    table.add_row([json!("applied with version"), json!(source.version)]);
    table.add_row([json!("applied at unix_ms"), json!(source.applied_unix_ms)]);
  }
  for (unix_ms, refusal) in refusals {
    table.add_row([json!(format!("refused at unix_ms {unix_ms}")), json!(refusal)]);
  }
  Ok(Answer::table("", table).with_version(held.version))
}

fn add_author(table: &mut Table, node: &Node, revision: Version) {
  let distributor = node.distribution.distributor();
  let history = distributor.catalog().history();
  let Some(summary) = history.iter().find(|summary| summary.version == revision) else {
    table.add_row([json!("changed by"), json!("history no longer tells")]);
    return;
  };
  let who = format!("{} of {}", summary.operator, summary.team);
  table.add_row([json!("changed by"), json!(who)]);
  table.add_row([json!("change"), json!(summary.id)]);
  table.add_row([json!("accepted at unix_ms"), json!(summary.unix_ms)]);
  table.add_row([json!("statement"), json!(summary.statement)]);
  table.add_row([json!("reason"), json!(summary.reason)]);
}

/// Milliseconds for which a question is asked again while boxes in use did not answer. A box that
/// starts or changes its relay has its links again sooner.
const ASK_AGAIN_FOR_MS: u64 = 2_000;

/// Milliseconds between two tries of a question.
const ASK_AGAIN_AFTER_MS: u64 = 200;

/// Shows the recorded steps of a request, whichever daemon handled it.
pub async fn request(node: &Rc<Node>, id: &RequestId) -> Result<Answer> {
  let mut records = records_of(node, id).await?;
  records.sort_by_key(|record| record.unix_ms);
  let mut table = Table::new(&["step", "what"]);
  for record in &records {
    add_record(&mut table, record);
  }
  let version = records[0].version;
  Ok(Answer::table("", table).with_version(version))
}

/// Asks the fleet for the records of a request, again while there is none and boxes in use did
/// not answer.
async fn records_of(node: &Rc<Node>, id: &RequestId) -> Result<Vec<RequestRecord>> {
  let until = node.shared.now().time.after(ASK_AGAIN_FOR_MS);
  loop {
    let replies = node.distribution.ask(FleetQuestion::Request { id: id.clone() }).await;
    let records: Vec<RequestRecord> = replies
      .reports
      .into_iter()
      .filter_map(|report| match report {
        Report::Request(record) => Some(*record),
        _ => None,
      })
      .collect();
    if !records.is_empty() {
      return Ok(records);
    }
    let present = node.distribution.distributor().endpoints().present().count();
    let silent = present.saturating_sub(replies.asked);
    if silent == 0 || node.shared.now().time >= until {
      return Err(Error::NotFound { what: missing_record_reason(node, id, silent) });
    }
    monoio::time::sleep(Duration::from_millis(ASK_AGAIN_AFTER_MS)).await;
  }
}

/// Returns the reason why no box has a record of a request, where `silent` boxes in use did not
/// answer.
fn missing_record_reason(node: &Node, id: &RequestId, silent: usize) -> String {
  let distributor = node.distribution.distributor();
  let named = |endpoint: &&Endpoint| {
    let prefix = format!("{}-", endpoint.peer.box_id.short());
    id.as_str().starts_with(&prefix)
  };
  let carrier = distributor.endpoints().iter().find(named);
  match carrier {
    Some(carrier) if carrier.state.is_gone() => format!(
      "no box remembers request {id}: box {} carried it and is {}, so its record is lost",
      carrier.peer.box_id, carrier.state
    ),
    Some(carrier) => format!(
      "no box remembers request {id}: box {} carried it, and keeps its last requests only",
      carrier.peer.box_id
    ),
    None => format!("no box remembers request {id}; {silent} boxes in use did not answer"),
  }
}

fn add_record(table: &mut Table, record: &RequestRecord) {
  let mut add_row = |step: &str, what: String| table.add_row([json!(step), json!(what)]);
  add_row("request", format!("{} ({})", record.line, record.id));
  add_row("carried by", format!("box {}, caller class {}", record.box_id, record.class));
  add_row("arrived", format!("at unix_ms {}", record.unix_ms));
  match &record.route {
    Some((route, service)) => {
      add_row(
        "routed",
        format!("by route {route} of version {} to service {service}", record.version),
      );
    }
    None => add_row("routed", format!("by no route of version {}", record.version)),
  }
  if let Some(claim) = &record.claim {
    add_row("claim", claim.clone());
  }
  for (index, attempt) in record.attempts.iter().enumerate() {
    for (candidate, verdict) in &attempt.verdicts {
      add_row(&format!("try {} candidate", index + 1), format!("box {candidate}: {verdict}"));
    }
    let outcome =
      format!("box {}: {} after {} us", attempt.box_id, attempt.outcome, attempt.took_us);
    add_row(&format!("try {}", index + 1), outcome);
  }
  if let Some(refusal) = &record.refusal {
    add_row("refused", refusal.clone());
  }
  add_row("ended", format!("status {} after {} us", record.status, record.took_us));
}

/// Shows the route and the candidates for a request without sending it.
pub fn explain(
  node: &Node,
  method: &str,
  host: &str,
  path: &str,
  headers: &[(String, String)],
) -> Result<Answer> {
  let shared = &node.shared;
  let held = shared.configuration().ok_or(Error::NoConfiguration)?;
  let malformed = |what: &str| Error::MalformedRequest { reason: format!("{what} is malformed") };
  let method: Method = method.parse().map_err(|_| malformed("the method"))?;
  let mut map = HeaderMap::new();
  for (name, value) in headers {
    let name: HeaderName = name.parse().map_err(|_| malformed("a header"))?;
    map.insert(name, value.parse().map_err(|_| malformed("a header"))?);
  }
  let router = shared.router();
  let host = (host != "-").then_some(host);
  let mut table = Table::new(&["step", "what"]);
  let Some(matched) = router.find(&method, host, path, &map) else {
    let message = match router.omitted(host, path) {
      Some(omission) => format!("it would be refused, for {omission}"),
      None => format!("no route of version {} takes it: it would be refused", held.version),
    };
    return Ok(Answer::table(message, table).with_version(held.version));
  };
  table.add_row([json!("route"), json!(matched.route)]);
  table.add_row([json!("service"), json!(matched.service)]);
  let runs =
    if matched.repeatable || method.is_safe() { "any number of times" } else { "at most once" };
  table.add_row([json!("runs"), json!(runs)]);
  for endpoint in shared.endpoints_of(&matched.service).iter() {
    let drained = held.drains.contains_key(&endpoint.peer.box_id);
    let state = if drained { "drained by an operator".into() } else { endpoint.state.to_string() };
    let what = format!("box {} in {}: {state}", endpoint.peer.box_id, endpoint.peer.data_hall);
    table.add_row([json!("candidate"), json!(what)]);
  }
  Ok(Answer::table("", table).with_version(held.version))
}
