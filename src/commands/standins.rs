//! `ferryyoke stand-in`.

use super::*;

/// Serves a stand-in until the process ends.
pub fn serve(matches: &ArgMatches) -> Result {
  let (kind, matches) = matches.subcommand().expect("the parser demands it");
  let address = *matches.get_one::<SocketAddr>("listen").expect("the parser demands it");
  block_on(async {
    let key = "listen";
    let failed = |source| daemon::Error::Listen { address, key, source };
    let listener = web::Listener::bind(address).map_err(failed)?;
    if kind == "store" {
      standin::StoreServer::start(listener).map_err(failed)?;
    } else {
      let name = matches.get_one::<String>("name").expect("the parser demands it");
      standin::BackendServer::start(listener, name).map_err(failed)?;
    }
    std::future::pending::<Result>().await
  })?
}
