//! Runs every statement on the operators' pages on a deployment, in the order of the page.

use {
  ferryyoke::{
    administration::{Answer, AnswerOutcome},
    commands::block_on,
    dev::{Mesh, Result},
    settings::Settings,
  },
  std::{fs, path::Path, time::Duration},
};

/// Returns the lines inside the code fences of `kind`.
fn fenced(page: &str, kind: &str) -> Vec<String> {
  let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/operators").join(page);
  let text = fs::read_to_string(path).expect("a page");
  let mut lines = Vec::new();
  let mut is_inside = false;
  for line in text.lines() {
    if line.starts_with("```") {
      is_inside = line == format!("```{kind}");
    } else if is_inside {
      lines.push(line.to_string());
    }
  }
  lines
}

async fn run_page(page: &str) -> Result {
  let mesh = Mesh::start(Mesh::example_plans())?;
  mesh.wait_until_ready().await?;
  let statements = fenced(page, "statement");
  assert!(!statements.is_empty(), "{page} has no statement");
  for statement in statements {
    let answer = execute(&mesh, &statement).await?;
    assert_eq!(answer.outcome, AnswerOutcome::Done, "{page}: `{statement}`: {}", answer.message);
    if let Some(version) = answer.version {
      mesh.wait_for_version(version).await?;
    }
  }
  Ok(())
}

/// Runs a statement. On a busy machine a box may answer too late, and the message then says that it
/// does not answer; the statement is retried in this case only. Any other answer counts.
async fn execute(mesh: &Mesh, statement: &str) -> Result<Answer> {
  const ATTEMPTS_MAX: usize = 50;
  for _ in 1..ATTEMPTS_MAX {
    let answer = mesh.boxes[0].execute(statement).await?;
    if answer.outcome == AnswerOutcome::Done || !answer.message.contains("does not answer") {
      return Ok(answer);
    }
    monoio::time::sleep(Duration::from_millis(100)).await;
  }
  mesh.boxes[0].execute(statement).await
}

fn check_page(page: &str) {
  block_on(run_page(page)).expect("an event loop").expect("the deployment runs");
}

#[test]
fn language() {
  check_page("language.md");
}

#[test]
fn versions() {
  check_page("versions.md");
}

#[test]
fn overload() {
  check_page("overload.md");
}

#[test]
fn at_most_once() {
  check_page("at-most-once.md");
}

#[test]
fn stops() {
  check_page("stops.md");
}

#[test]
fn outages() {
  check_page("outages.md");
}

#[test]
fn the_settings_on_the_page_are_valid() {
  let text = fenced("install.md", "json").join("\n");
  let text =
    text.replace("{ \"file\": \"/run/secrets/ferryyoke\" }", "{ \"environment\": \"KEY\" }");
  let settings = Settings::parse(&text, &|_| Some("a secret that is long enough".into()));
  settings.unwrap_or_else(|err| panic!("{err}"));
}

#[test]
fn organisations() {
  check_page("organisations.md");
}
