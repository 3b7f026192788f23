//! The command line.

use super::*;

use crate::{
  administration::{Answer, AnswerOutcome, StatementRequest},
  daemon::{self, Daemon, Listeners, signals::Signals},
  dev, fake,
  node::SystemClock,
  settings::Settings,
  telemetry::{BufferedOutput, Log},
};

pub use self::{arguments::arguments, error::Error};

use self::settings_watch::SettingsWatch;

mod arguments;
mod check;
mod error;
pub mod query;
mod run;
mod settings_watch;
mod stand_in;

/// Result of a command.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;

/// Exit code of a command that succeeded.
const DONE: u8 = 0;
/// Exit code of a command that failed.
const FAILED: u8 = 1;
/// Exit code of wrong usage or invalid settings.
const USAGE: u8 = 2;

/// Runs the command in `args`, which start with the program's name, and returns the exit code.
pub fn execute(args: impl Iterator<Item = std::ffi::OsString>) -> std::process::ExitCode {
  let matches = match arguments().try_get_matches_from(args) {
    Ok(matches) => matches,
    Err(err) => {
      err.print().ok();
      return if err.use_stderr() { USAGE.into() } else { DONE.into() };
    }
  };
  match dispatch(&matches) {
    Ok(()) => DONE.into(),
    Err(err) => {
      eprintln!("error: {err}");
      err.exit_code().into()
    }
  }
}

fn dispatch(matches: &ArgMatches) -> Result {
  match matches.subcommand() {
    Some(("check", matches)) => check::check(path(matches, "settings")),
    Some(("completions", matches)) => {
      completions(matches);
      Ok(())
    }
    Some(("dev", matches)) => block_on(dev::run(matches.get_flag("once")))?.map_err(Error::Dev),
    Some(("query", matches)) => query::query(matches),
    Some(("run", matches)) => run::run(path(matches, "settings")),
    Some(("stand-in", matches)) => stand_in::serve(matches),
    _ => unreachable!("the parser demands a known command"),
  }
}

fn completions(matches: &ArgMatches) {
  let shell = matches.get_one::<clap_complete::Shell>("shell").expect("the parser demands it");
  clap_complete::generate(*shell, &mut arguments(), "ferryyoke", &mut io::stdout());
}

fn path<'a>(matches: &'a ArgMatches, name: &str) -> &'a Path {
  matches.get_one::<PathBuf>(name).expect("the parser demands it")
}

/// Runs a future on an event loop on this thread. The loop uses epoll; `io_uring` is not compiled
/// in.
pub fn block_on<F: Future>(future: F) -> Result<F::Output> {
  let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
    .enable_timer()
    .build()
    .map_err(|err| Error::Daemon(daemon::Error::Runtime(err)))?;
  Ok(runtime.block_on(future))
}
