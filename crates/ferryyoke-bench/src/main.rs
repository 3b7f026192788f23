//! The `ferryyoke-bench` binary.

fn main() -> std::process::ExitCode {
  ferryyoke_bench::execute(std::env::args_os().collect())
}
