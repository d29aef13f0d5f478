//! Adapter that hosts instances of the decision module on the simulator's wire. It decides nothing.

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
const FAILED: i32 = 2;
/// Bytes that are allocated for a frame before any of them came.
const MAX_PREALLOCATED: usize = 1 << 20;

fn main() {
    if let Err(error) = run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        eprintln!("simulator-adapter: {error}");
        std::process::exit(FAILED);
    }
}

/// Answers batch after batch, to the end of the input.
fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), Error> {
    let mut host = Host::default();
    let mut frame = Vec::new();
    while let Some(batch) = next_batch(input)? {
        host.handle(&batch)?.frame(batch.serial, &mut frame);
        output.write_all(&frame).and_then(|()| output.flush()).map_err(Error::Reply)?;
    }
    Ok(())
}

fn next_batch(input: &mut impl Read) -> Result<Option<Batch>, Error> {
    let mut header = Vec::with_capacity(HEADER_BYTES);
    input.take(HEADER_BYTES as u64).read_to_end(&mut header).map_err(Error::Read)?;
    if header.is_empty() {
        return Ok(None);
    }
    let header: [u8; HEADER_BYTES] = header.try_into().map_err(|_| Error::CutHeader)?;
    let rest = frame::frame_len(&header)? - HEADER_BYTES;
    let mut body = Vec::with_capacity(rest.min(MAX_PREALLOCATED));
    input.take(rest as u64).read_to_end(&mut body).map_err(Error::Read)?;
    if body.len() < rest {
        return Err(Error::CutFrame { missing: rest - body.len() });
    }
    Batch::parse(&header, body).map(Some)
}
