//! Adapter that connects instances of the decision module to the simulator. It contains no decision logic.

mod decode;
mod encode;
mod error;
mod frame;
mod host;

use error::Error;
use frame::{Batch, HEADER_BYTES};
use host::Host;
use std::io::{self, Read, Write};

/// Exit code after an error.
const ERROR_EXIT_CODE: i32 = 2;
/// Maximum size of the buffer that is allocated for a frame before its data is received.
const MAX_PREALLOCATED_BYTES: usize = 1 << 20;

fn main() {
    if let Err(error) = run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        eprintln!("simulator-adapter: {error}");
        std::process::exit(ERROR_EXIT_CODE);
    }
}

/// Replies to each batch until the end of the input.
fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), Error> {
    let mut host = Host::default();
    let mut frame = Vec::new();
    while let Some(batch) = next_batch(input)? {
        host.handle(&batch)?.write_frame(batch.serial, &mut frame);
        output.write_all(&frame).and_then(|()| output.flush()).map_err(Error::Write)?;
    }
    Ok(())
}

fn next_batch(input: &mut impl Read) -> Result<Option<Batch>, Error> {
    let mut header = Vec::with_capacity(HEADER_BYTES);
    input.take(HEADER_BYTES as u64).read_to_end(&mut header).map_err(Error::Read)?;
    if header.is_empty() {
        return Ok(None);
    }
    let header: [u8; HEADER_BYTES] = header.try_into().map_err(|_| Error::TruncatedHeader)?;
    let rest = frame::frame_len(&header)? - HEADER_BYTES;
    let mut body = Vec::with_capacity(rest.min(MAX_PREALLOCATED_BYTES));
    input.take(rest as u64).read_to_end(&mut body).map_err(Error::Read)?;
    if body.len() < rest {
        return Err(Error::TruncatedFrame { missing: rest - body.len() });
    }
    Batch::parse(&header, body).map(Some)
}
