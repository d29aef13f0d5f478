//! Binary of the node; its code is in the library.

fn main() -> std::process::ExitCode {
    molevale::run()
}
