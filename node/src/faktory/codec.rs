//! The lines of the Faktory work protocol, version 2: commands in, RESP replies out.

use bytes::Bytes;
use serde::de::IgnoredAny;
use serde::Deserialize;
use serde_json::json;
use sha2::{Digest, Sha256};

/// A job holds at most 64 KiB, as on the platform; the rest is room for the command's name.
pub const LINE_MAX: usize = 64 * 1024 + 16;
/// Queues that one FETCH may name.
const QUEUES_MAX: usize = 64;

/// A client's first word.
#[derive(Debug, Deserialize)]
pub struct Hello {
    /// The version that it speaks.
    pub v: u32,
    /// Its id, if it is a worker.
    pub wid: Option<String>,
    /// The hash of the password.
    pub pwdhash: Option<String>,
}

/// A job as pushed; what the decisions need of it.
#[derive(Debug, Deserialize)]
pub struct Push {
    /// Its id.
    pub jid: String,
    /// What is to be done.
    pub jobtype: String,
    /// With what; it has to be a list, and goes on unread.
    #[serde(rename = "args")]
    _args: Vec<IgnoredAny>,
    /// The class.
    #[serde(default = "default_queue")]
    pub queue: String,
    /// When it is to start; only what starts now is taken.
    pub at: Option<String>,
    /// Further fields.
    pub custom: Option<Custom>,
}

fn default_queue() -> String {
    "default".to_string()
}

/// The fields of a job that Faktory leaves to its users.
#[derive(Debug, Default, Deserialize)]
pub struct Custom {
    /// The tenant.
    pub tenant: Option<String>,
    /// What makes a repeat a repeat; the jid where absent.
    pub key: Option<String>,
    /// The wait for an end state, in seconds, where it is shorter than the class's.
    pub deadline: Option<f64>,
    /// A rough guess at the work, in microseconds.
    pub cost_hint: Option<f64>,
}

/// What a worker says of itself.
#[derive(Debug, Deserialize)]
pub struct Beat {
    /// Its id.
    pub wid: String,
    /// Whether it is about to stop.
    pub current_state: Option<String>,
}

#[derive(Deserialize)]
struct ByJid {
    jid: String,
}

/// A command, taken apart.
#[derive(Debug)]
pub enum Command {
    /// The first one of a session.
    Hello(Hello),
    /// A job, and the bytes that came.
    Push(Push, Bytes),
    /// A worker asks for a job of these queues.
    Fetch(Vec<String>),
    /// A worker has done this job.
    Ack(String),
    /// A worker has failed this job.
    Fail(String),
    /// A worker lives.
    Beat(Beat),
    /// A client asks for a job's state.
    TrackGet(String),
    /// Anyone asks for the server's figures.
    Info,
    /// The session ends.
    End,
}

/// Why a line is not taken.
#[derive(Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is not what the protocol says.
    Malformed(String),
    /// It is, and there is no such thing here.
    Unknown(String),
}

impl Command {
    /// Takes a line apart, without its end.
    pub fn parse(line: &str) -> Result<Command, Fault> {
        let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
        let rest = rest.trim();
        Ok(match name {
            "HELLO" => Command::Hello(json(rest)?),
            "PUSH" => {
                let push: Push = json(rest)?;
                if !(8..=256).contains(&push.jid.len()) {
                    return Err(Fault::Malformed("a jid has 8 to 256 characters".to_string()));
                }
                if push.jobtype.is_empty() {
                    return Err(Fault::Malformed("a job needs a jobtype".to_string()));
                }
                if push
                    .custom
                    .as_ref()
                    .and_then(|c| c.key.as_ref())
                    .is_some_and(|k| !(1..=256).contains(&k.len()))
                {
                    return Err(Fault::Malformed("a key has 1 to 256 characters".to_string()));
                }
                Command::Push(push, Bytes::copy_from_slice(rest.as_bytes()))
            }
            "FETCH" => {
                let queues: Vec<String> = rest.split_whitespace().map(String::from).collect();
                if queues.len() > QUEUES_MAX {
                    return Err(Fault::Malformed("too many queues".to_string()));
                }
                Command::Fetch(if queues.is_empty() { vec![default_queue()] } else { queues })
            }
            "ACK" => Command::Ack(json::<ByJid>(rest)?.jid),
            "FAIL" => Command::Fail(json::<ByJid>(rest)?.jid),
            "BEAT" => Command::Beat(json(rest)?),
            "TRACK" => match rest.split_once(' ') {
                Some(("GET", jid)) => Command::TrackGet(jid.trim().to_string()),
                _ => return Err(Fault::Unknown("TRACK offers GET only".to_string())),
            },
            "INFO" => Command::Info,
            "END" => Command::End,
            _ => {
                let name: String = name.chars().filter(|c| c.is_ascii_graphic()).take(32).collect();
                return Err(Fault::Unknown(format!("unknown command {name}")));
            }
        })
    }
}

fn json<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, Fault> {
    serde_json::from_str(text).map_err(|e| Fault::Malformed(e.to_string()))
}

/// What the server says.
#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    /// `+OK`
    Ok,
    /// A simple string.
    Simple(String),
    /// A bulk string.
    Bulk(Bytes),
    /// No job.
    Nil,
    /// An error, its tag first.
    Error(&'static str, String),
}

impl Reply {
    /// The bytes on the wire.
    pub fn encode(&self) -> Vec<u8> {
        // A line break within a line would be taken for its end.
        let one_line = |text: &str| text.replace(['\r', '\n'], " ");
        match self {
            Reply::Ok => b"+OK\r\n".to_vec(),
            Reply::Simple(text) => format!("+{}\r\n", one_line(text)).into_bytes(),
            Reply::Nil => b"$-1\r\n".to_vec(),
            Reply::Error(tag, text) => format!("-{tag} {}\r\n", one_line(text)).into_bytes(),
            Reply::Bulk(bytes) => {
                let mut out = format!("${}\r\n", bytes.len()).into_bytes();
                out.extend_from_slice(bytes);
                out.extend_from_slice(b"\r\n");
                out
            }
        }
    }
}

impl From<Fault> for Reply {
    fn from(fault: Fault) -> Reply {
        match fault {
            Fault::Malformed(why) => Reply::Error("MALFORMED", why),
            Fault::Unknown(why) => Reply::Error("ERR", why),
        }
    }
}

/// The server's first word; with a password, what its hash is made of.
pub fn hi(challenge: Option<(&str, u32)>) -> Reply {
    Reply::Simple(match challenge {
        Some((salt, rounds)) => format!("HI {}", json!({"v": 2, "s": salt, "i": rounds})),
        None => format!("HI {}", json!({"v": 2})),
    })
}

/// The password's hash: SHA-256 of password and salt, hashed again until it was hashed `rounds` times.
pub fn password_hash(password: &str, salt: &str, rounds: u32) -> String {
    let mut hash = Sha256::digest(format!("{password}{salt}"));
    for _ in 1..rounds {
        hash = Sha256::digest(hash);
    }
    hash.iter().map(|b| format!("{b:02x}")).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_password_is_hashed_as_often_as_the_greeting_says() {
        // SHA-256 of "abc", and of that digest, from the published test vectors' method.
        let once = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
        assert_eq!(password_hash("a", "bc", 1), once);
        let twice = "4f8b42c22dd3729b519ba6f68d2da7cc5b2d606d05daed5ad5128cc03e6c6358";
        assert_eq!(password_hash("a", "bc", 2), twice);
        assert_eq!(hi(Some(("bc", 2))).encode(), b"+HI {\"i\":2,\"s\":\"bc\",\"v\":2}\r\n");
    }

    #[test]
    fn lines_that_are_no_commands_are_told_apart() {
        for bad in [
            "PUSH {",
            "PUSH {\"jid\":\"short\",\"jobtype\":\"x\",\"args\":[]}",
            "PUSH {\"jid\":\"long-enough\",\"args\":[]}",
            "PUSH {\"jid\":\"long-enough\",\"jobtype\":\"x\",\"args\":{}}",
            "ACK",
            "BEAT []",
            "HELLO 2",
        ] {
            assert!(matches!(Command::parse(bad), Err(Fault::Malformed(_))), "{bad}");
        }
        for unknown in ["", "push {}", "TRACK SET {}", "FLUSH"] {
            assert!(matches!(Command::parse(unknown), Err(Fault::Unknown(_))), "{unknown}");
        }
        assert!(matches!(Command::parse("FETCH"), Ok(Command::Fetch(q)) if q == ["default"]));
    }

    #[test]
    fn a_line_break_never_splits_a_reply() {
        assert_eq!(Reply::Error("ERR", "a\r\n+OK".to_string()).encode(), b"-ERR a  +OK\r\n");
        assert_eq!(Reply::Bulk(Bytes::from_static(b"a\nb")).encode(), b"$3\r\na\nb\r\n");
    }
}
