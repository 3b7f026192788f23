use super::*;

/// Runs the soak test, or acts as `ferryyoke` if the first argument asks for it.
pub fn execute(args: Vec<OsString>) -> std::process::ExitCode {
  if args.get(1).is_some_and(|arg| arg == AS_FERRYYOKE) {
    let is_suspended = args.get(2).is_some_and(|arg| arg == StoppedClocks::WORD);
    if is_suspended {
      ferryyoke::timer::install(Rc::new(StoppedClocks::default()));
    }
    let own = args.iter().take(1).chain(args.iter().skip(2 + usize::from(is_suspended))).cloned();
    return ferryyoke::commands::execute(own.collect::<Vec<_>>().into_iter());
  }
  let matches = arguments().get_matches_from(args);
  match soak(&matches) {
    Ok(0) => std::process::ExitCode::SUCCESS,
    Ok(_) => std::process::ExitCode::FAILURE,
    Err(err) => {
      eprintln!("error: {err}");
      std::process::ExitCode::FAILURE
    }
  }
}

fn arguments() -> Command {
  let number = |name: &'static str, default: &'static str, help: &'static str| {
    Arg::new(name)
      .long(name)
      .default_value(default)
      .value_parser(clap::value_parser!(u64))
      .help(help)
  };
  Command::new("ferryyoke-soak")
    .about("Runs daemons on loopback under random faults and checks what callers and backend servers see")
    .arg(number("first", "1", "The first seed"))
    .arg(number("count", "1", "How many seeds to run, one after the other"))
    .arg(number("boxes", "8", "How many boxes the fleet has"))
    .arg(number("seconds", "24", "Seconds for which callers send requests in each run"))
    .arg(
      Arg::new("keep")
        .long("keep")
        .value_parser(clap::value_parser!(PathBuf))
        .help("Directory that receives the logs of runs with violations"),
    )
    .arg(
      Arg::new("plan")
        .long("plan")
        .action(clap::ArgAction::SetTrue)
        .help("Print the plans of the seeds without running them"),
    )
}

/// Runs all seeds. Returns the number of seeds with violations.
fn soak(matches: &ArgMatches) -> Result<usize> {
  let number = |name: &str| *matches.get_one::<u64>(name).expect("the argument has a default");
  let boxes = usize::try_from(number("boxes").max(1)).unwrap_or(1);
  let executable = std::env::current_exe()?;
  let mut broken = 0;
  for seed in (number("first")..).take(usize::try_from(number("count")).unwrap_or(0)) {
    let plan = Plan::of(seed, boxes, number("seconds") * 1_000);
    if matches.get_flag("plan") {
      println!("{}", to_json(&plan)?);
      continue;
    }
    let directory = tempfile::tempdir()?;
    let running = run::run(seed, plan, boxes, &executable, directory.path());
    let summary = ferryyoke::commands::block_on(running)??;
    println!("{}", to_json(&summary)?);
    if summary.violations.is_empty() {
      continue;
    }
    broken += 1;
    if let Some(kept) = matches.get_one::<PathBuf>("keep") {
      keep(directory.path(), &kept.join(format!("seed-{seed}")))?;
    }
  }
  Ok(broken)
}

fn to_json(value: &impl Serialize) -> Result<String> {
  serde_json::to_string(value).map_err(|err| Error::Unexpected(err.to_string()))
}

fn keep(from: &Path, to: &Path) -> Result {
  fs::create_dir_all(to)?;
  for entry in fs::read_dir(from)? {
    let entry = entry?;
    fs::copy(entry.path(), to.join(entry.file_name()))?;
  }
  Ok(())
}
