//! The `ferryyoke` binary.

fn main() -> std::process::ExitCode {
  ferryyoke::commands::execute(std::env::args_os())
}
