//! The cases.

use std::{sync::Arc, time::Duration};

use crate::{
  daemons::Result,
  record::Record,
};

mod held_answers;
mod route_names;
mod software_versions;

/// Host of all routes.
const HOST: &str = "jepu9.example";

/// Plays a case. Returns whether its rule was broken.
pub fn play(case: &str) -> Result<bool> {
  let folder = std::env::var("CASE_DIR").map_err(|_| "CASE_DIR is not set")?;
  let record = Arc::new(Record::create(&format!("{folder}/record.txt"))?);
  let is_broken = match case {
    "held-answers" => held_answers::play(&record),
    "route-names" => route_names::play(&record),
    "software-versions" => software_versions::play(&record),
    other => Err(format!("`{other}` is no case")),
  };
  record.flush();
  is_broken
}

/// Whether the disruption is played.
fn has_trouble() -> bool {
  std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A route of the operators' configuration.
fn route(name: &str, prefix: &str, kind: &str, service: &str, timeout_ms: u64) -> String {
  format!(
    "{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"{kind}\",\
     \"Timeout\":\"{timeout_ms}ms\",\"TargetLatency\":\"500ms\",\"Priority\":1,\
     \"Service\":\"{service}\",\"MaxAttempts\":2}}"
  )
}

/// The operators' configuration.
fn configuration(version: u64, routes: &[String], services: &[&str]) -> String {
  let services = services.iter().map(|name| {
    format!(
      "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":130,\"Protocol\":\"h1\",\
       \"Tls\":false}}"
    )
  });
  format!(
    "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
     \"MaxBodyBytes\":67108864,\"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15000ms\"}}}}",
    routes.join(","),
    services.collect::<Vec<_>>().join(",")
  )
}

fn ms(count: u64) -> Duration {
  Duration::from_millis(count)
}
