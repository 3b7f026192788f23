//! The `ferryyoke-soak` binary.

fn main() -> std::process::ExitCode {
  ferryyoke_soak::execute(std::env::args_os().collect())
}
