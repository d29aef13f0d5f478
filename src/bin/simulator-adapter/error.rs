//! Errors that end the adapter.

use dispatch_policy::api::InvalidSettings;
use dispatch_policy::settings;
use std::{error, fmt, io};

/// Why the adapter can't go on.
#[derive(Debug)]
pub enum Error {
    /// The input can't be read.
    Read(io::Error),
    /// A reply can't be written.
    Reply(io::Error),
    /// The input ends inside a header.
    CutHeader,
    /// The input ends inside a frame, this many bytes early.
    CutFrame { missing: usize },
    /// A frame states a length that is less than its header's.
    FrameTooShort { stated: usize },
    /// A frame states more records than it holds.
    MissingRecords { stated: usize, bytes: usize },
    /// A field lies past its record's end.
    FieldPastRecord { at: usize },
    /// Data lies past the tail's end.
    DataPastTail,
    /// The settings are not UTF-8.
    SettingsNotText,
    /// The settings can't be read.
    Settings(settings::Error),
    /// The settings can't be used.
    InvalidSettings(InvalidSettings),
    /// A code or number that is not known.
    Unknown { what: &'static str, number: u64 },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Read(e) => write!(f, "cannot read: {e}"),
            Error::Reply(e) => write!(f, "cannot reply: {e}"),
            Error::CutHeader => write!(f, "the input ends inside a header"),
            Error::CutFrame { missing } => {
                write!(f, "the input ends inside a frame, {missing} bytes early")
            }
            Error::FrameTooShort { stated } => {
                write!(f, "a frame states {stated} bytes, less than its header")
            }
            Error::MissingRecords { stated, bytes } => {
                write!(f, "a frame states {stated} records but holds {bytes} bytes")
            }
            Error::FieldPastRecord { at } => {
                write!(f, "a field at byte {at} lies past its record's end")
            }
            Error::DataPastTail => write!(f, "data lies past the tail's end"),
            Error::SettingsNotText => write!(f, "settings: not text"),
            Error::Settings(e) => write!(f, "{e}"),
            Error::InvalidSettings(e) => write!(f, "settings: {e}"),
            Error::Unknown { what, number } => write!(f, "{what} {number} is not known"),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Error::Read(e) | Error::Reply(e) => Some(e),
            Error::Settings(e) => Some(e),
            Error::InvalidSettings(e) => Some(e),
            _ => None,
        }
    }
}
