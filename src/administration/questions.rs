//! Answers to questions about the configuration and the fleet.

use super::*;

use serde_json::{Value, json};

/// Answers a question.
pub async fn answer(node: &Rc<Node>, question: &Question) -> Result<Answer> {
  match question {
    Question::Calls(service) => calls(node, service),
    Question::Change(id) => change(node, id).await,
    Question::Difference(from, to) => {
      let from = stored_versions::load(&node.shared, *from).await?;
      let to = stored_versions::load(&node.shared, *to).await?;
      Ok(Answer::table("", difference(&from, &to)).with_version(to.version))
    }
    Question::Explain { headers, host, method, path } => {
      why::explain(node, method, host, path, headers)
    }
    Question::Export => {
      let held = node.shared.configuration().ok_or(Error::NoConfiguration)?;
      let document = serde_json::to_value(Document::of(&held)).expect("plain data");
      Ok(Answer { document: Some(document), ..Answer::done("") }.with_version(held.version))
    }
    Question::Fleet => Ok(fleet(node).await),
    Question::History(count) => Ok(history(node, *count)),
    Question::Rollout(version) => configuration_rollout(node, *version).await,
    Question::SoftwareRollout(service) => software_rollout(node, service),
    Question::Show(kind, filters) => show(node, *kind, filters),
    Question::ShowObject(name) => show_object(node, name),
    Question::Room(service) => room(node, service),
    Question::Status => Ok(status(node)),
    Question::Suspects => Ok(suspects(node)),
    Question::WhyBox(box_id, route) => why::route_on_box(node, box_id, route).await,
    Question::WhyRequest(id) => why::request(node, id).await,
  }
}

/// Shows the progress of a service's software rollout, with counts of answers by version and
/// route.
fn software_rollout(node: &Node, service: &ServiceName) -> Result<Answer> {
  let now = node.shared.now().time;
  let distributor = node.distribution.distributor();
  let known = distributor.rollout(service).and_then(|known| known.record().zip(Some(known)));
  let Some((record, rollout)) = known else {
    return Err(Error::NotFound { what: format!("no roll-out of service {service} is known") });
  };
  let mut table = Table::new(&["version", "route", "answers", "failed", "mean_power_of_2_ms"]);
  for version in record.base.iter().chain([&record.order.target]) {
    for (route, seen) in rollout.tallies(now, version) {
      let mean = format!("{:.1}", seen.mean_power());
      let (answers, failed) = (json!(seen.answers), json!(seen.failures));
      table.add_row([json!(version.as_str()), json!(route.as_str()), answers, failed, json!(mean)]);
    }
  }
  let base = record.base.as_ref().map_or("no version", SoftwareVersion::as_str);
  let blocker = rollout.blocked_by().map_or(String::new(), |why| format!("; not further: {why}"));
  let message = format!(
    "{base} to {}, step {} by {}, {} of {} ms after its order: {}{blocker}",
    record.order.target,
    record.step,
    record.decider,
    rollout.age_ms(now),
    record.order.duration_ms,
    record.stage
  );
  Ok(Answer::table(message, table))
}

/// Looks up an accepted change. The store's history is authoritative; the local copy serves while
/// the store does not answer.
async fn change(node: &Node, id: &ChangeId) -> Result<Answer> {
  let asked = stored_versions::read_head(&node.shared).await;
  let from_store = asked.as_ref().ok().and_then(Option::as_ref);
  let held = node.distribution.distributor().catalog().history().to_vec();
  let history = from_store.map_or(&held, |(head, _)| &head.history);
  if let Some(summary) = history.iter().find(|summary| summary.id == *id) {
    let mut table = summaries_table();
    add_summary(&mut table, summary);
    let message = format!("accepted as version {}", summary.version);
    return Ok(Answer::table(message, table).with_version(summary.version));
  }
  if let Err(err) = asked {
    return Ok(Answer::unknown(format!("unknown: {err}; ask again once the store answers")));
  }
  let what = format!("no accepted change has the id {id} among the last {}", Head::HISTORY_MAX);
  Err(Error::NotFound { what })
}

/// Returns the objects that differ between two configurations.
pub fn difference(from: &Configuration, to: &Configuration) -> Table {
  let mut table = Table::new(&["object", "difference", "from", "to"]);
  let names: BTreeSet<ObjectName> =
    from.object_names().into_iter().chain(to.object_names()).collect();
  for name in names {
    let (old, new) = (from.object(&name), to.object(&name));
    if old == new {
      continue;
    }
    let kind = match (&old, &new) {
      (None, _) => "created",
      (_, None) => "deleted",
      _ => "changed",
    };
    let shown = |object: &Option<Object>| object.as_ref().map_or(Value::Null, fields_text);
    table.add_row([json!(name.to_string()), json!(kind), shown(&old), shown(&new)]);
  }
  table
}

fn fields_text(object: &Object) -> Value {
  let fields = fields(object);
  let shown = |(name, value): (&String, &Value)| match value {
    Value::String(text) => format!("{name}={text}"),
    other => format!("{name}={other}"),
  };
  json!(fields.iter().map(shown).collect::<Vec<String>>().join(" "))
}

fn fields(object: &Object) -> serde_json::Map<String, Value> {
  let value = match object {
    Object::Drain(_, drain) => serde_json::to_value(drain),
    Object::Organisation(_, organisation) => serde_json::to_value(organisation),
    Object::Policy(_, policy) => serde_json::to_value(policy),
    Object::Route(_, route) => serde_json::to_value(route),
    Object::Service(_, service) => serde_json::to_value(service),
  };
  match value {
    Ok(Value::Object(fields)) => fields,
    _ => serde_json::Map::new(),
  }
}

fn summaries_table() -> Table {
  Table::new(&[
    "version",
    "change",
    "operator",
    "team",
    "unix_ms",
    "touched",
    "reason",
    "statement",
  ])
}

fn add_summary(table: &mut Table, summary: &ChangeSummary) {
  let touched: Vec<String> = summary.touched.iter().map(ToString::to_string).collect();
  table.add_row([
    json!(summary.version),
    json!(summary.id),
    json!(summary.operator),
    json!(summary.team),
    json!(summary.unix_ms),
    json!(touched.join(", ")),
    json!(summary.reason),
    json!(summary.statement),
  ]);
}

fn history(node: &Node, count: u32) -> Answer {
  let distributor = node.distribution.distributor();
  let mut table = summaries_table();
  for summary in distributor.catalog().history().iter().rev().take(count as usize) {
    add_summary(&mut table, summary);
  }
  Answer::table("", table)
}

fn show(node: &Node, kind: Kind, filters: &[(String, String)]) -> Result<Answer> {
  let held = node.shared.configuration().ok_or(Error::NoConfiguration)?;
  let mut table = Table::new(&["name", "revision", "fields"]);
  for name in held.object_names().into_iter().filter(|name| Kind::of_object(name) == kind) {
    let Some(object) = held.object(&name) else {
      continue;
    };
    if matches_filters(&object, filters) {
      let bare = name.to_string();
      let bare = bare.split_once(' ').map_or(bare.as_str(), |(_, name)| name);
      table.add_row([json!(bare), json!(held.revision(&name)), fields_text(&object)]);
    }
  }
  Ok(Answer::table("", table).with_version(held.version))
}

fn matches_filters(object: &Object, filters: &[(String, String)]) -> bool {
  let fields = fields(object);
  filters.iter().all(|(field, wanted)| match fields.get(field) {
    Some(Value::String(text)) => text == wanted,
    Some(other) => serde_json::from_str::<Value>(wanted).is_ok_and(|wanted| wanted == *other),
    None => false,
  })
}

fn show_object(node: &Node, name: &ObjectName) -> Result<Answer> {
  let held = node.shared.configuration().ok_or(Error::NoConfiguration)?;
  let unknown =
    || Error::NotFound { what: format!("there is no {name} in version {}", held.version) };
  let object = held.object(name).ok_or_else(unknown)?;
  let mut table = Table::new(&["field", "value"]);
  for (field, value) in fields(&object) {
    table.add_row([json!(field), value]);
  }
  table.add_row([json!("revision"), json!(held.revision(name))]);
  Ok(Answer::table("", table).with_version(held.version))
}

fn status(node: &Node) -> Answer {
  let status = node.distribution.distributor().status();
  let limiter = node.shared.limiter.borrow();
  let mut table = Table::new(&["field", "value"]);
  if let Ok(Value::Object(fields)) = serde_json::to_value(&status) {
    for (field, value) in fields.into_iter().filter(|(field, _)| field != "relays") {
      table.add_row([json!(field), value]);
    }
  }
  table.add_row([json!("box"), json!(node.shared.settings.box_id)]);
  table.add_row([json!("requests_running"), json!(limiter.running())]);
  table.add_row([json!("requests_waiting"), json!(limiter.waiting())]);
  Answer::table("", table)
}

/// Shows by rank what this box knows of a service's room, and how many requests entered here.
fn room(node: &Node, service: &ServiceName) -> Result<Answer> {
  let rooms = node.shared.rooms.borrow();
  let unknown = || Error::NotFound {
    what: format!("no requests of several ranks or organisations came here for {service}"),
  };
  let level_percent = rooms.level_percent(service).ok_or_else(unknown)?;
  let mut table =
    Table::new(&["rank", "free_percent", "wait_ms", "enter_percent", "tried", "refused"]);
  for row in rooms.rows(node.shared.now().time, service) {
    table.add_row([
      json!(row.priority),
      json!(row.forecast.map(|forecast| forecast.free_percent)),
      json!(row.forecast.map(|forecast| forecast.wait_ms)),
      json!(row.admitted_percent),
      json!(row.admitted),
      json!(row.refused),
    ]);
  }
  let largest = rooms.largest_organisations(service).into_iter();
  let largest: Vec<String> = largest.map(|(name, percent)| format!("{name} {percent}%")).collect();
  let asked = if largest.is_empty() {
    String::new()
  } else {
    format!("; asked most: {}", largest.join(", "))
  };
  let message = format!("while it is full, {level_percent}% of its demand enters here{asked}");
  Ok(Answer::table(message, table))
}

/// Shows by route what recent runs of a service called, how many calls failed, and how many retries
/// this box has left at the called services.
fn calls(node: &Node, service: &ServiceName) -> Result<Answer> {
  let held = node.shared.configuration().ok_or(Error::NoConfiguration)?;
  let is_of = |route: &Route| {
    let split = &route.handling.split;
    route.service == *service || split.iter().any(|one| one.service == *service)
  };
  let routes: Vec<&RouteName> =
    held.routes.iter().filter(|(_, route)| is_of(&route.value)).map(|(name, _)| name).collect();
  if routes.is_empty() {
    return Err(Error::NotFound { what: format!("no route leads to {service}") });
  }
  let (trees, budget) = (node.shared.call_trees.borrow(), node.shared.retry_budget.borrow());
  let mut table = Table::new(&[
    "route",
    "runs",
    "failed_for_calls_percent",
    "calls",
    "calls_in_1000_runs",
    "failed_percent",
    "mean_us",
    "together_percent",
    "retries_left",
  ]);
  let mut unknown = Vec::new();
  for route in routes {
    let Some(rows) = trees.rows(route) else {
      unknown.push(route.as_str());
      continue;
    };
    let (runs, runs_failed_percent) = trees.runs(node.shared.now().time, route);
    for row in rows {
      let left = f64::from(budget.left(&row.service)) / 1_000.0;
      table.add_row([
        json!(route.as_str()),
        json!(runs),
        json!(runs_failed_percent),
        json!(row.service.as_str()),
        json!(row.permille),
        json!(row.failed_percent),
        json!(row.mean_us),
        json!(row.together_percent),
        json!(left),
      ]);
    }
  }
  let message = if unknown.is_empty() {
    String::new()
  } else {
    format!("no run told this box what it called: {}", unknown.join(", "))
  };
  Ok(Answer::table(message, table))
}

/// Lists the requests during which backend servers crashed, most crashes first, with their status
/// in the quarantine.
fn suspects(node: &Node) -> Answer {
  let now = node.shared.now().time;
  let quarantine = node.shared.quarantine.borrow();
  let mut suspects: Vec<(Fingerprint, &Suspect)> = quarantine.suspects().collect();
  suspects.sort_by_key(|(fingerprint, suspect)| (Reverse(suspect.crashes), *fingerprint));
  let mut table = Table::new(&["fingerprint", "crashes", "last_ms_ago", "boxes", "standing"]);
  for (fingerprint, suspect) in suspects {
    let boxes: Vec<String> = suspect.boxes.iter().map(ToString::to_string).collect();
    let status = quarantine.status(now, fingerprint).to_string();
    table.add_row([
      json!(fingerprint.to_string()),
      json!(suspect.crashes),
      json!(now.since_ms(suspect.last_crash_at)),
      json!(boxes.join(" ")),
      json!(status),
    ]);
  }
  Answer::table("", table)
}

/// Asks the fleet which version each box applies. Returns, by box, the version, its time of
/// application in Unix milliseconds and the last refusal; and the number of neighbours that did not
/// answer.
async fn query_applied_versions(
  node: &Rc<Node>,
) -> (BTreeMap<BoxId, (Option<Version>, u64, Option<String>)>, usize) {
  let replies = node.distribution.ask(FleetQuestion::Rollout).await;
  let mut boxes = BTreeMap::new();
  for report in replies.reports {
    if let Report::Applied { box_id, refusal, unix_ms, version } = report {
      let known: Option<&(Option<Version>, u64, Option<String>)> = boxes.get(&box_id);
      if known.is_none_or(|(known, ..)| *known < version) {
        boxes.insert(box_id, (version, unix_ms, refusal));
      }
    }
  }
  (boxes, replies.missing)
}

async fn configuration_rollout(node: &Rc<Node>, version: Option<Version>) -> Result<Answer> {
  let held = node.shared.configuration().ok_or(Error::NoConfiguration)?;
  let version = version.unwrap_or(held.version);
  let (boxes, missing) = query_applied_versions(node).await;
  let endpoints: Vec<Endpoint> =
    node.distribution.distributor().endpoints().present().cloned().collect();
  let mut table = Table::new(&["box", "data_hall", "applies", "version", "unix_ms", "why"]);
  let mut applying = 0;
  for endpoint in &endpoints {
    let found = boxes.get(&endpoint.peer.box_id);
    let applies = found.is_some_and(|(applied, ..)| *applied >= Some(version));
    applying += usize::from(applies);
    let why = match found {
      None => "its relay does not answer".into(),
      Some((_, _, Some(refusal))) => refusal.clone(),
      Some(_) if applies => String::new(),
      Some(_) => "on its way".into(),
    };
    table.add_row([
      json!(endpoint.peer.box_id),
      json!(endpoint.peer.data_hall),
      json!(if applies { "yes" } else { "no" }),
      json!(found.and_then(|(applied, ..)| *applied)),
      json!(found.map(|(_, unix_ms, _)| unix_ms)),
      json!(why),
    ]);
  }
  let mut message =
    format!("version {version}: applied by {applying} of {} boxes", endpoints.len());
  if missing > 0 {
    message = format!("{message}; {missing} neighbours did not answer in time");
  }
  Ok(Answer::table(message, table).with_version(version))
}

async fn fleet(node: &Rc<Node>) -> Answer {
  let (boxes, _) = query_applied_versions(node).await;
  let distributor = node.distribution.distributor();
  let relays = distributor.status().relays;
  let mut table = Table::new(&[
    "box",
    "data_hall",
    "region",
    "service",
    "state",
    "role",
    "relay",
    "version",
    "address",
  ]);
  for endpoint in distributor.endpoints().iter() {
    let box_id = &endpoint.peer.box_id;
    let found = boxes.get(box_id);
    table.add_row([
      json!(box_id),
      json!(endpoint.peer.data_hall),
      json!(endpoint.region),
      json!(endpoint.service),
      json!(endpoint.state),
      json!(if relays.has(box_id) { "relay" } else { "subscriber" }),
      json!(endpoint.relay),
      json!(found.and_then(|(version, ..)| *version)),
      json!(endpoint.forward_address),
    ]);
  }
  let age = distributor.status().store_age_ms;
  let message = match age {
    Some(age_ms) => format!("the store confirmed the newest version {age_ms} ms ago"),
    None => "the store has not confirmed the newest version yet".into(),
  };
  Answer::table(message, table)
}
