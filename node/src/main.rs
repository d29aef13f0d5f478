//! The node's program; all of it is in the library.

fn main() -> std::process::ExitCode {
    molevale::run()
}
