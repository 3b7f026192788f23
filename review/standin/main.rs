//! The stand-ins of the review's scripts: the platform's store, backends, requesters and operator, and the scenes.

mod backend;
mod broken_pipeline;
mod fleet;
mod hedged_body;
mod http;
mod json;
mod long_name;
mod old_version;
mod record;
mod reused_address;
mod stalled_download;
mod store;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// How a scene ended.
pub enum Verdict {
  Held,
  Broken,
  NotRun,
}

pub fn post(address: SocketAddr, path: &str, body: &str, limit: Duration) -> Option<u16> {
  let request = format!(
    "POST {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
     Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
    body.len()
  );
  fleet::exchange(address, request.as_bytes(), limit).map(|answer| answer.status())
}

fn main() {
  let arguments: Vec<String> = std::env::args().collect();
  let [_, scene, root, folder, record] = &arguments[..] else {
    eprintln!("give SCENE, the repository, a temporary folder and the record's path");
    std::process::exit(2);
  };
  let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
  let record = record::Record::create(&PathBuf::from(record));
  record.line(format!("scene {scene}, {} the disruption", if has_trouble { "with" } else { "without" }));
  let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
  let verdict = match scene.as_str() {
    "broken-pipeline" => broken_pipeline::play(&root, &folder, &record, has_trouble),
    "stalled-download" => stalled_download::play(&root, &folder, &record, has_trouble),
    "reused-address" => reused_address::play(&root, &folder, &record, has_trouble),
    "reused-address-callers" => reused_address::play_callers(&root, &folder, &record, has_trouble),
    "long-name" => long_name::play(&root, &folder, &record, has_trouble),
    "old-version" => old_version::play(&root, &folder, &record, has_trouble),
    "hedged-body" => hedged_body::play(&root, &folder, &record, has_trouble),
    _ => Verdict::NotRun,
  };
  let (code, text) = match verdict {
    Verdict::Held => (0, "the rule held"),
    Verdict::Broken => (1, "the rule was broken"),
    Verdict::NotRun => (2, "the scene could not run"),
  };
  record.line(text);
  println!("{text}");
  std::process::exit(code);
}
