//! `ferryyoke stand-in`.

use super::*;

/// Runs stand-ins of the platform until the process ends.
pub fn serve(matches: &ArgMatches) -> Result {
  block_on(async {
    match matches.subcommand() {
      Some(("backend-servers", matches)) => start_backend_servers(matches)?,
      Some(("store", matches)) => start_store(matches)?,
      _ => unreachable!("the parser demands a known command"),
    }
    std::future::pending::<Result>().await
  })?
}

fn start_backend_servers(matches: &ArgMatches) -> Result {
  let servers = matches.get_many::<arguments::NamedAddress>("server").unwrap_or_default();
  for (name, address) in servers {
    let listener = bind(*address)?;
    fake::BackendServer::start(listener, name).map_err(|err| cannot_listen(*address, err))?;
  }
  Ok(())
}

fn start_store(matches: &ArgMatches) -> Result {
  let address = *matches.get_one::<SocketAddr>("listen").expect("the parser demands it");
  let listener = bind(address)?;
  fake::StoreServer::start(listener).map_err(|err| cannot_listen(address, err))?;
  Ok(())
}

fn bind(address: SocketAddr) -> Result<web::Listener> {
  web::Listener::bind(address).map_err(|err| cannot_listen(address, err))
}

fn cannot_listen(address: SocketAddr, source: io::Error) -> Error {
  Error::Daemon(daemon::Error::Listen { address, key: "stand-in", source })
}
