use super::*;

/// Returns the definition of the command line.
pub fn arguments() -> Command {
  Command::new("ferryyoke")
    .about("Configuration distribution for a service mesh: one daemon beside each backend server")
    .version(env!("CARGO_PKG_VERSION"))
    .subcommand_required(true)
    .arg_required_else_help(true)
    .subcommand(check())
    .subcommand(completions())
    .subcommand(dev())
    .subcommand(query())
    .subcommand(run())
    .subcommand(stand_in())
}

fn settings() -> Arg {
  Arg::new("settings")
    .long("settings")
    .value_name("FILE")
    .help("The settings, in JSON")
    .required(true)
    .value_parser(clap::value_parser!(PathBuf))
}

fn check() -> Command {
  Command::new("check").about("Check settings without starting anything").arg(settings())
}

fn completions() -> Command {
  Command::new("completions")
    .about("Print completions for a shell")
    .arg(Arg::new("shell").required(true).value_parser(clap::value_parser!(clap_complete::Shell)))
}

fn dev() -> Command {
  Command::new("dev")
    .about("Run a whole deployment in this process, on loopback, to try things out")
    .arg(
      Arg::new("once")
        .long("once")
        .help("Make a tour that checks each of its steps, then exit")
        .action(ArgAction::SetTrue),
    )
}

fn query() -> Command {
  Command::new("query")
    .about("State something in the operators' language to a daemon")
    .arg(
      Arg::new("admin")
        .long("admin")
        .value_name("ADDR")
        .help("Where a daemon's administration listens")
        .default_value("127.0.0.1:7003")
        .value_parser(clap::value_parser!(SocketAddr)),
    )
    .arg(
      Arg::new("change-id")
        .long("change-id")
        .value_name("ID")
        .help("The id of a change that is stated again")
        .value_parser(clap::value_parser!(ChangeId)),
    )
    .arg(
      Arg::new("output")
        .long("output")
        .value_name("FORM")
        .help("For people or for programs")
        .default_value("table")
        .value_parser(["table", "json"]),
    )
    .arg(
      Arg::new("timeout-ms")
        .long("timeout-ms")
        .value_name("MS")
        .help("Milliseconds that the whole command may take")
        .default_value("15000")
        .value_parser(clap::value_parser!(u64).range(1..)),
    )
    .arg(
      Arg::new("token-file")
        .long("token-file")
        .value_name("FILE")
        .help("The token, where it is not in FERRYYOKE_TOKEN")
        .value_parser(clap::value_parser!(PathBuf)),
    )
    .arg(
      Arg::new("text").value_name("TEXT").help("The script; `-` for standard input").required(true),
    )
}

fn run() -> Command {
  Command::new("run").about("Run the daemon beside a backend server").arg(settings())
}

fn stand_in() -> Command {
  let listen = Arg::new("listen")
    .long("listen")
    .value_name("ADDR")
    .required(true)
    .value_parser(clap::value_parser!(SocketAddr));
  let server = Arg::new("server")
    .long("server")
    .value_name("NAME=ADDR")
    .help("A backend server; may be given again")
    .action(ArgAction::Append)
    .required(true)
    .value_parser(named_address);
  Command::new("stand-in")
    .about("Run a stand-in of the platform, for tests and measurements")
    .hide(true)
    .subcommand_required(true)
    .subcommand(Command::new("backend-servers").arg(server))
    .subcommand(Command::new("store").arg(listen))
}

/// The name and address of a backend server.
pub(super) type NamedAddress = (String, SocketAddr);

fn named_address(text: &str) -> std::result::Result<NamedAddress, String> {
  let (name, address) = text.split_once('=').ok_or("give NAME=ADDR")?;
  let address: SocketAddr = address.parse().map_err(|_| "the address is no IP number and port")?;
  Ok((name.into(), address))
}
