//! The commands of the benchmark tool.

use super::*;

mod at_most_once;
mod balance;
mod capacity;
mod churn;
mod convergence;
mod overhead;
mod overload;
mod restart_storm;

/// Runs the command given in `words`, the arguments of the process, or `ferryyoke` if the first one
/// is [`AS_FERRYYOKE`].
pub fn execute(mut words: Vec<OsString>) -> std::process::ExitCode {
  if words.get(1).is_some_and(|word| word == AS_FERRYYOKE) {
    words.remove(1);
    return ferryyoke::commands::execute(words.into_iter());
  }
  let matches = arguments().get_matches_from(words);
  let done = block_on(dispatch(&matches));
  match done.map_err(Error::from).flatten() {
    Ok(()) => std::process::ExitCode::SUCCESS,
    Err(err) => {
      eprintln!("error: {err}");
      std::process::ExitCode::FAILURE
    }
  }
}

async fn dispatch(matches: &ArgMatches) -> Result {
  match matches.subcommand() {
    Some(("at-most-once", matches)) => at_most_once::measure(matches).await,
    Some(("balance", matches)) => {
      balance::measure(matches);
      Ok(())
    }
    Some(("capacity", matches)) => capacity::measure(matches).await,
    Some(("churn", matches)) => churn::measure(matches).await,
    Some(("convergence", matches)) => convergence::measure(matches).await,
    Some(("overhead", matches)) => overhead::measure(matches).await,
    Some(("overload", _)) => overload::measure().await,
    Some(("restart-storm", matches)) => restart_storm::measure(matches).await,
    _ => unreachable!("clap accepts only known subcommands"),
  }
}

fn arguments() -> Command {
  Command::new("ferryyoke-bench")
    .about("Measures ferryyoke; every result is a JSON line")
    .subcommand_required(true)
    .arg_required_else_help(true)
    .subcommand(at_most_once::arguments())
    .subcommand(balance::arguments())
    .subcommand(capacity::arguments())
    .subcommand(churn::arguments())
    .subcommand(convergence::arguments())
    .subcommand(overhead::arguments())
    .subcommand(overload::arguments())
    .subcommand(restart_storm::arguments())
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
  Arg::new(name)
    .long(name)
    .value_name("N")
    .default_value(default)
    .help(help)
    .value_parser(clap::value_parser!(usize))
}

fn profile() -> Arg {
  Arg::new("profile")
    .long("profile")
    .value_name("P")
    .default_value("prompt")
    .help("The profile of distribution")
    .value_parser(["balanced", "frugal", "prompt"])
}

/// The flag `--json` has no effect: results are always JSON lines.
fn json() -> Arg {
  Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON lines (always on)")
}

fn get(matches: &ArgMatches, name: &str) -> usize {
  *matches.get_one(name).expect("the argument has a default")
}

fn get_profile(matches: &ArgMatches) -> &str {
  matches.get_one::<String>("profile").expect("the argument has a default")
}

/// Returns the path of this binary, which can also run as a daemon.
fn executable() -> Result<PathBuf> {
  Ok(std::env::current_exe()?)
}

fn print(line: &serde_json::Value) {
  println!("{line}");
}

#[allow(clippy::cast_precision_loss)]
fn count(number: usize) -> f64 {
  number as f64
}

#[allow(clippy::cast_precision_loss)]
fn count_u64(number: u64) -> f64 {
  number as f64
}
