//! Runs the `ferryyoke` binary and checks its output.

use std::{
  fs,
  path::PathBuf,
  process::{Command, Output},
};

/// Returns valid settings as JSON.
pub fn good_settings() -> serde_json::Value {
  serde_json::json!({
    "addresses": {
      "administration": "127.0.0.1:7003",
      "callers": "127.0.0.1:7000",
      "forward": "127.0.0.1:7001",
      "links": "127.0.0.1:7002",
    },
    "backend_server": { "address": "127.0.0.1:8000", "connections": 130, "slots": 12 },
    "box": "archive-1",
    "data_hall": "remera",
    "fleet_key": { "environment": "TEST_FLEET_KEY" },
    "peers": [],
    "region": "kigali",
    "service": "minutes-archive",
    "store": { "address": "127.0.0.1:9000" },
  })
}

/// A run of the binary, with its expected status and output.
pub struct Test {
  arguments: Vec<String>,
  directory: tempfile::TempDir,
  status: i32,
  stderr: Vec<String>,
  stdout: Vec<String>,
}

impl Test {
  pub fn new() -> Self {
    Self {
      arguments: Vec::new(),
      directory: tempfile::tempdir().expect("a directory"),
      status: 0,
      stderr: Vec::new(),
      stdout: Vec::new(),
    }
  }

  pub fn arguments(mut self, arguments: &[&str]) -> Self {
    self.arguments.extend(arguments.iter().map(ToString::to_string));
    self
  }

  /// Runs `check` on a settings file with this text.
  pub fn check(self, text: &str) -> Self {
    let path = self.path("settings.json");
    fs::write(&path, text).expect("a file");
    self.arguments(&["check", "--settings", &path.display().to_string()])
  }

  /// Runs `check` on valid settings in which `value` replaces the value at `pointer`.
  pub fn check_with(self, pointer: &str, value: serde_json::Value) -> Self {
    let mut settings = good_settings();
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    let parent = settings.pointer_mut(parent).expect("a place in the settings");
    parent[key] = value;
    self.check(&settings.to_string())
  }

  pub fn path(&self, name: &str) -> PathBuf {
    self.directory.path().join(name)
  }

  pub fn status(self, status: i32) -> Self {
    Self { status, ..self }
  }

  pub fn stderr_contains(mut self, text: &str) -> Self {
    self.stderr.push(text.into());
    self
  }

  pub fn stdout_contains(mut self, text: &str) -> Self {
    self.stdout.push(text.into());
    self
  }

  pub fn run(self) -> Output {
    let output = Command::new(env!("CARGO_BIN_EXE_ferryyoke"))
      .args(&self.arguments)
      .env("TEST_FLEET_KEY", "a secret that is long enough")
      .env_remove("FERRYYOKE_TOKEN")
      .output()
      .expect("the binary runs");
    let stderr = String::from_utf8_lossy(&output.stderr).to_string();
    let stdout = String::from_utf8_lossy(&output.stdout).to_string();
    assert_eq!(output.status.code(), Some(self.status), "stdout: {stdout}\nstderr: {stderr}");
    for text in &self.stderr {
      assert!(stderr.contains(text), "`{text}` is not in stderr: {stderr}");
    }
    for text in &self.stdout {
      assert!(stdout.contains(text), "`{text}` is not in stdout: {stdout}");
    }
    assert!(!stderr.contains("panicked"), "it panicked: {stderr}");
    output
  }
}
