//! Stand-ins of the platform for the scripts of `review/4` to `review/8`: a store, backend servers and
//! requesters, and the checks of the cases. Uses the standard library only.
//!
//! `standin-2 CASE` starts daemons as separate processes on loopback, plays the case and exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` plays it without the
//! disruption.

mod backend;
mod cases;
mod daemons;
mod http;
mod json;
mod record;
mod store;

fn main() {
  let case = std::env::args().nth(1).unwrap_or_default();
  let code = match cases::play(&case) {
    Ok(true) => 1,
    Ok(false) => 0,
    Err(reason) => {
      eprintln!("the case could not run: {reason}");
      2
    }
  };
  std::process::exit(code);
}
