//! Replies of the server and their encoding in RESP, the Redis serialization protocol.

use super::command::CommandError;
use bytes::Bytes;

/// Reply to a command.
#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    /// `OK`.
    Ok,
    /// Simple string, a single line.
    Simple(String),
    /// Bulk string, of any bytes.
    Bulk(Bytes),
    /// Null bulk string: no job is available.
    Nil,
    /// Error with its code and text.
    Error(&'static str, String),
}

impl Reply {
    /// Error with the generic code.
    pub fn error(error: impl ToString) -> Reply {
        Reply::Error("ERR", error.to_string())
    }

    /// Encodes the reply.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            Reply::Ok => b"+OK\r\n".to_vec(),
            Reply::Simple(text) => format!("+{}\r\n", single_line(text)).into_bytes(),
            Reply::Nil => b"$-1\r\n".to_vec(),
            Reply::Error(code, text) => format!("-{code} {}\r\n", single_line(text)).into_bytes(),
            Reply::Bulk(bytes) => {
                let mut encoded = format!("${}\r\n", bytes.len()).into_bytes();
                encoded.extend_from_slice(bytes);
                encoded.extend_from_slice(b"\r\n");
                encoded
            }
        }
    }
}

/// Replaces line breaks, which would end a simple string or an error early.
fn single_line(text: &str) -> String {
    text.replace(['\r', '\n'], " ")
}

impl From<CommandError> for Reply {
    fn from(error: CommandError) -> Reply {
        match error {
            CommandError::Malformed(reason) => Reply::Error("MALFORMED", reason),
            CommandError::Unknown(reason) => Reply::Error("ERR", reason),
        }
    }
}
