//! Codec of a session: decodes lines and encodes replies.

use super::command::{CommandError, LINE_MAX};
use super::reply::Reply;
use bytes::BytesMut;
use std::io;
use tokio_util::codec::{Decoder, Encoder, LinesCodec, LinesCodecError};

/// A line without its terminator, or why it is invalid.
pub(super) type Line = Result<String, CommandError>;

/// Codec of a session.
pub(super) struct SessionCodec(LinesCodec);

impl Default for SessionCodec {
    fn default() -> SessionCodec {
        SessionCodec(LinesCodec::new_with_max_length(LINE_MAX))
    }
}

impl Decoder for SessionCodec {
    type Item = Line;
    type Error = io::Error;

    /// Returns an invalid line as an item, because an error would end the stream: the session replies and continues.
    fn decode(&mut self, source: &mut BytesMut) -> io::Result<Option<Line>> {
        let malformed = |reason: &str| Ok(Some(Err(CommandError::Malformed(reason.to_string()))));
        match self.0.decode(source) {
            Ok(line) => Ok(line.map(Ok)),
            Err(LinesCodecError::MaxLineLengthExceeded) => malformed("a line is too long"),
            Err(LinesCodecError::Io(error)) if error.kind() == io::ErrorKind::InvalidData => {
                malformed("a line is not UTF-8")
            }
            Err(LinesCodecError::Io(error)) => Err(error),
        }
    }
}

impl Encoder<Reply> for SessionCodec {
    type Error = io::Error;

    fn encode(&mut self, reply: Reply, destination: &mut BytesMut) -> io::Result<()> {
        destination.extend_from_slice(&reply.encode());
        Ok(())
    }
}
