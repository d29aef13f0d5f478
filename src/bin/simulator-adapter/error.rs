//! Errors that terminate the adapter.

use dispatch_policy::api::InvalidSettings;
use dispatch_policy::settings;
use std::{error, fmt, io};

/// An error that terminates the adapter.
#[derive(Debug)]
pub enum Error {
    /// Reading the input failed.
    Read(io::Error),
    /// Writing a reply failed.
    Write(io::Error),
    /// The input ends within a header.
    TruncatedHeader,
    /// The input ends within a frame.
    TruncatedFrame { missing: usize },
    /// A frame's stated length is shorter than its header.
    FrameTooShort { stated: usize },
    /// A frame's stated number of records exceeds its length.
    MissingRecords { stated: usize, bytes: usize },
    /// A field extends past the end of its record.
    FieldPastRecord { offset: usize },
    /// Data extends past the end of the tail.
    DataPastTail,
    /// The settings are not UTF-8.
    SettingsNotUtf8,
    /// The settings can't be parsed.
    Settings(settings::Error),
    /// The settings are invalid.
    InvalidSettings(InvalidSettings),
    /// A code or number is unknown.
    Unknown { what: &'static str, number: u64 },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Read(e) => write!(f, "cannot read the input: {e}"),
            Error::Write(e) => write!(f, "cannot write a reply: {e}"),
            Error::TruncatedHeader => write!(f, "the input ends within a header"),
            Error::TruncatedFrame { missing } => {
                write!(f, "the input ends within a frame: {missing} bytes are missing")
            }
            Error::FrameTooShort { stated } => {
                write!(f, "a frame's stated length of {stated} bytes is shorter than its header")
            }
            Error::MissingRecords { stated, bytes } => {
                write!(f, "a frame states {stated} records but contains only {bytes} bytes")
            }
            Error::FieldPastRecord { offset } => {
                write!(f, "the field at byte {offset} extends past the end of its record")
            }
            Error::DataPastTail => write!(f, "data extends past the end of the tail"),
            Error::SettingsNotUtf8 => write!(f, "settings: not valid UTF-8"),
            Error::Settings(e) => write!(f, "{e}"),
            Error::InvalidSettings(e) => write!(f, "settings: {e}"),
            Error::Unknown { what, number } => write!(f, "unknown {what} {number}"),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Error::Read(e) | Error::Write(e) => Some(e),
            Error::Settings(e) => Some(e),
            Error::InvalidSettings(e) => Some(e),
            _ => None,
        }
    }
}
