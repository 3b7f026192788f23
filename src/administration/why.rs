//! Answers to `why` and `explain`.

use super::*;

use serde_json::json;

/// Shows why a box holds a route: the change that set it, and how the box received it.
pub async fn box_holds(node: &Rc<Node>, box_id: &BoxId, route: &RouteName) -> Result<Answer> {
  let held = node.shared.configuration().ok_or(Error::NoConfiguration)?;
  let name = ObjectName::Route(route.clone());
  let mut table = Table::new(&["fact", "value"]);
  if let Some(revision) = held.revision(&name) {
    table.add([json!("route"), json!(name.to_string())]);
    table.add([json!("changed last in version"), json!(revision)]);
    add_author(&mut table, node, revision);
  } else {
    let known: Vec<&str> = held.routes.keys().map(RouteName::as_str).collect();
    let what = format!("there is no {name} in version {}: see {}", held.version, known.join(", "));
    return Err(Error::Unknown { what });
  }
  let question = FleetQuestion::Held { box_id: box_id.clone() };
  let inquired = node.distribution.ask(question).await;
  let report = inquired.reports.into_iter().find_map(|report| match report {
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
    return Err(Error::Unknown {
      what: format!(
        "box {box_id} does not answer; it is {state}, and what it holds is lost{entry}"
      ),
    });
  };
  table.add([json!("box"), json!(box_id)]);
  table.add([json!("holds version"), json!(version)]);
  table.add([json!("confirmed by the store, ms ago"), json!(store_age_ms)]);
  let revision = held.revision(&name);
  let brought = provenance.iter().find(|one| Some(one.version) >= revision);
  if let Some(brought) = brought {
    let from = brought.from.as_ref().map_or("the store".into(), |from| format!("box {from}"));
    table.add([json!("received from"), json!(from)]);
    table.add([json!("applied with version"), json!(brought.version)]);
    table.add([json!("applied at unix_ms"), json!(brought.applied_unix_ms)]);
  }
  for (unix_ms, refusal) in refusals {
    table.add([json!(format!("refused at unix_ms {unix_ms}")), json!(refusal)]);
  }
  Ok(Answer::table("", table).at(held.version))
}

fn add_author(table: &mut Table, node: &Node, revision: Version) {
  let distributor = node.distribution.distributor();
  let history = distributor.catalog().history();
  let Some(summary) = history.iter().find(|summary| summary.version == revision) else {
    table.add([json!("changed by"), json!("history no longer tells")]);
    return;
  };
  let who = format!("{} of {}", summary.operator, summary.team);
  table.add([json!("changed by"), json!(who)]);
  table.add([json!("change"), json!(summary.id)]);
  table.add([json!("accepted at unix_ms"), json!(summary.unix_ms)]);
  table.add([json!("statement"), json!(summary.statement)]);
  table.add([json!("reason"), json!(summary.reason)]);
}

/// Shows the recorded steps of a request, whichever daemon handled it.
pub async fn request(node: &Rc<Node>, id: &RequestId) -> Result<Answer> {
  let inquired = node.distribution.ask(FleetQuestion::Request { id: id.clone() }).await;
  let mut records: Vec<RequestRecord> = inquired
    .reports
    .into_iter()
    .filter_map(|report| match report {
      Report::Request(record) => Some(*record),
      _ => None,
    })
    .collect();
  records.sort_by_key(|record| record.unix_ms);
  if records.is_empty() {
    return Err(Error::Unknown { what: lost(node, id, inquired.missing) });
  }
  let mut table = Table::new(&["step", "what"]);
  for record in &records {
    add_record(&mut table, record);
  }
  let version = records[0].version;
  Ok(Answer::table("", table).at(version))
}

/// Returns the reason why no box has a record of a request.
fn lost(node: &Node, id: &RequestId, missing: usize) -> String {
  let distributor = node.distribution.distributor();
  let named = |endpoint: &&Endpoint| {
    let prefix = format!("{}-", endpoint.peer.box_id);
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
    None => format!("no box remembers request {id}; {missing} neighbours did not answer in time"),
  }
}

fn add_record(table: &mut Table, record: &RequestRecord) {
  let mut add = |step: &str, what: String| table.add([json!(step), json!(what)]);
  add("request", format!("{} ({})", record.line, record.id));
  add("carried by", format!("box {}, caller class {}", record.box_id, record.class));
  add("arrived", format!("at unix_ms {}", record.unix_ms));
  match &record.route {
    Some((route, service)) => {
      add("routed", format!("by route {route} of version {} to service {service}", record.version));
    }
    None => add("routed", format!("by no route of version {}", record.version)),
  }
  if let Some(claim) = &record.claim {
    add("claim", claim.clone());
  }
  for (index, attempt) in record.attempts.iter().enumerate() {
    for (candidate, verdict) in &attempt.verdicts {
      add(&format!("try {} candidate", index + 1), format!("box {candidate}: {verdict}"));
    }
    let outcome =
      format!("box {}: {} after {} us", attempt.box_id, attempt.outcome, attempt.took_us);
    add(&format!("try {}", index + 1), outcome);
  }
  if let Some(refusal) = &record.refusal {
    add("refused", refusal.clone());
  }
  add("ended", format!("status {} after {} us", record.status, record.took_us));
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
  let malformed = |what: &str| Error::Call { reason: format!("{what} is malformed") };
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
    let message = format!("no route of version {} takes it: it would be refused", held.version);
    return Ok(Answer::table(message, table).at(held.version));
  };
  table.add([json!("route"), json!(matched.route)]);
  table.add([json!("service"), json!(matched.service)]);
  let runs =
    if matched.repeatable || method.is_safe() { "any number of times" } else { "at most once" };
  table.add([json!("runs"), json!(runs)]);
  for endpoint in shared.endpoints_of(&matched.service).iter() {
    let drained = held.drains.contains_key(&endpoint.peer.box_id);
    let state = if drained { "drained by an operator".into() } else { endpoint.state.to_string() };
    let what = format!("box {} in {}: {state}", endpoint.peer.box_id, endpoint.peer.data_hall);
    table.add([json!("candidate"), json!(what)]);
  }
  Ok(Answer::table("", table).at(held.version))
}
