//! The operators' language: accepted scripts, error texts, and printing of parsed scripts.

mod support;

use {
  arbtest::arbitrary::{Result, Unstructured},
  ferryyoke::language::{Error, Script},
  support::histories,
};

/// Scripts with every kind of statement, in their printed form.
const SCRIPTS: [&str; 35] = [
  "create route minutes path /minutes service archive",
  "create route minutes path /minutes service archive host minutes.example method GET repeatable no",
  "create route minutes path /minutes service archive header x-team \"the clerks\"",
  "set route minutes no host no method no header x-team",
  "set policy browsing attempts 3 deadline_ms 10000 queue_length 24 owner clerks",
  "create service archive policy browsing; create route all path / service archive",
  "delete service archive; delete policy browsing",
  "drain archive-1",
  "undrain archive-1",
  "rollback to 17",
  "allow request 00f1a2b3c4d5e6f7",
  "restore store",
  "show calls of payments",
  "show room of payments",
  "show suspects",
  "set log level debug",
  "dry run if version 4 reason \"a \\\"quoted\\\" reason\" delete route minutes",
  "apply {\"drains\":{},\"policies\":{},\"routes\":{},\"services\":{}}",
  "export",
  "fleet",
  "status",
  "history 20",
  "difference 3 5",
  "rollout",
  "rollout 5",
  "rollout service archive",
  "show routes",
  "show routes where service archive where method GET",
  "show policies",
  "show drains",
  "show route minutes",
  "show change c-1",
  "why box archive-1 holds route minutes",
  "why request archive-1-af-1",
  "explain request GET minutes.example /minutes/1 header x-team \"the clerks\"",
];

#[test]
fn every_statement_prints_as_it_was_parsed() {
  for text in SCRIPTS {
    let script: Script = text.parse().unwrap_or_else(|err| panic!("`{text}`: {err}"));
    assert_eq!(script.to_string(), text);
  }
}

fn error(text: &str) -> String {
  text.parse::<Script>().expect_err("the script is wrong").to_string()
}

#[test]
fn errors_name_the_position_and_the_expected_word() {
  let err = error("create route minutes path");
  assert_eq!(err, "column 26: found the end, expected a path that starts with `/`");
  let err = error("show rout minutes");
  assert!(err.starts_with("column 6: found `rout`"), "{err}");
  assert!(err.ends_with("did you mean `route`?"), "{err}");
  let err = error("set policy browsing attempts many");
  assert!(err.starts_with("column 30: found `many`, expected a number of tries"), "{err}");
  let err = error("create route minutes path /a service \"open");
  assert!(err.contains("a text that ends with a quote"), "{err}");
}

#[test]
fn changes_and_questions_do_not_mix() {
  let err = "drain archive-1; fleet".parse::<Script>();
  assert_eq!(err, Err(Error::MixedStatements));
}

#[test]
fn a_script_is_bounded() {
  let many = "drain a;".repeat(2_001);
  assert_eq!(many.parse::<Script>(), Err(Error::TooLong));
  let long = format!("drain {}", "a".repeat(2_000_000));
  assert_eq!(long.parse::<Script>(), Err(Error::TooLong));
}

#[test]
fn deeply_nested_braces_are_an_error_and_no_crash() {
  let err = error(&format!("apply {}", "{".repeat(500_000)));
  assert!(err.starts_with("column 7"), "{}", &err[..err.len().min(200)]);
  let err = error(&format!("apply {}{}", "{".repeat(100_000), "}".repeat(100_000)));
  assert!(err.contains("the document cannot be read"), "{err}");
}

#[test]
fn the_error_of_an_empty_script_lists_the_keywords() {
  assert!(error("").contains("`create`"), "{}", error(""));
}

/// Returns a known script with up to four random edits, which may append pieces of other scripts.
fn near_valid(u: &mut Unstructured) -> Result<String> {
  let mut text: Vec<char> = u.choose(&SCRIPTS)?.chars().collect();
  for _ in 0..u.int_in_range(0..=4)? {
    let at = u.choose_index(text.len())?;
    match u.int_in_range(0..=3)? {
      0 => {
        text.remove(at);
      }
      1 => text.insert(at, *u.choose(&['"', '{', '}', ';', '\\', ' ', 'é', '0', '/'])?),
      2 => text.truncate(at.max(1)),
      _ => text.extend(u.choose(&SCRIPTS)?.chars()),
    }
    if text.is_empty() {
      break;
    }
  }
  Ok(text.into_iter().collect())
}

#[test]
fn near_valid_scripts_never_panic_and_print_as_they_were_parsed() {
  let mut read = 0;
  histories(3_000, |u| {
    let text = near_valid(u)?;
    if let Ok(script) = text.parse::<Script>() {
      read += 1;
      let printed = script.to_string();
      assert_eq!(printed.parse::<Script>().as_ref(), Ok(&script), "`{text}` printed `{printed}`");
    }
    Ok(())
  });
  assert!(read > 100, "only {read} near-valid scripts were valid");
}

#[test]
fn arbitrary_text_never_panics() {
  histories(1_000, |u| {
    let text: String = u.arbitrary()?;
    text.parse::<Script>().ok();
    Ok(())
  });
}
