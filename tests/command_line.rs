//! The command line: usage, completions and exit codes.

mod support;

use {
  std::net::TcpListener,
  support::command::{Test, good_settings},
};

#[test]
fn no_command_is_wrong_usage() {
  Test::new().status(2).stderr_contains("Usage").run();
}

#[test]
fn an_unknown_command_is_wrong_usage() {
  Test::new().arguments(&["serve"]).status(2).stderr_contains("unrecognized subcommand").run();
}

#[test]
fn help_names_every_command() {
  Test::new()
    .arguments(&["--help"])
    .stdout_contains("check")
    .stdout_contains("completions")
    .stdout_contains("dev")
    .stdout_contains("query")
    .stdout_contains("run")
    .run();
}

#[test]
fn completions_are_printed() {
  Test::new().arguments(&["completions", "bash"]).stdout_contains("ferryyoke").run();
}

#[test]
fn an_unreachable_daemon_is_a_failure() {
  let free = TcpListener::bind("127.0.0.1:0").and_then(|one| one.local_addr()).expect("a port");
  Test::new()
    .arguments(&["query", "--admin", &free.to_string(), "fleet"])
    .status(1)
    .stderr_contains("cannot ask the daemon")
    .run();
}

#[test]
fn invalid_settings_prevent_the_start() {
  let test = Test::new();
  let path = test.path("settings.json");
  std::fs::write(&path, "{}").expect("a file");
  test
    .arguments(&["run", "--settings", &path.display().to_string()])
    .status(2)
    .stderr_contains("$.addresses")
    .run();
}

#[test]
fn a_port_in_use_prevents_the_start() {
  let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
  let address = taken.local_addr().expect("an address").to_string();
  let mut settings = good_settings();
  settings["addresses"]["administration"] = address.clone().into();
  let test = Test::new();
  let path = test.path("settings.json");
  std::fs::write(&path, settings.to_string()).expect("a file");
  test
    .arguments(&["run", "--settings", &path.display().to_string()])
    .status(1)
    .stderr_contains(&format!("cannot listen on {address}"))
    .stderr_contains("$.addresses.administration")
    .run();
}
