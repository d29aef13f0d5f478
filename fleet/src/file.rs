//! Configuration file of the fleet, as operators write it; see `deploy/fleet.toml`.

use crate::machine::Timing;
use crate::member::NAME_MAX;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use toml::Spanned;

/// Most scheduled calls, and the longest name of one in bytes. Bounds what the voters replicate.
const SCHEDULED_CALLS_MAX: usize = 32;
const SCHEDULED_CALL_NAME_MAX: usize = 48;

/// Content of the file.
#[derive(Clone, Debug, PartialEq)]
pub struct File {
    /// Name of the fleet. Installations with different names never mix, not even if they share a key.
    pub fleet: String,
    /// Address that the node listens at, with UDP and TCP.
    pub listen: SocketAddr,
    /// Address at which other nodes reach it; `listen` if the file has none.
    pub advertise: SocketAddr,
    /// Zone; empty if the file has none.
    pub zone: String,
    /// Path of the key file, as written.
    pub key_file: PathBuf,
    /// Addresses of the nodes to contact first; the node itself may be among them.
    pub seeds: Vec<SocketAddr>,
    /// Timing of the protocol.
    pub timing: Timing,
    /// Duties that one node holds at a time; `None` without the section.
    pub duties: Option<Duties>,
}

/// Content of the section `duties`.
#[derive(Clone, Debug, PartialEq)]
pub struct Duties {
    /// Path of the folder of the durable voter state, as written. A node without one is never a voter.
    pub state: Option<PathBuf>,
    /// Names and addresses of the initial voters, which every node asks first.
    pub voters: Vec<(String, SocketAddr)>,
    /// Duration of a lease on a duty.
    pub lease: Duration,
    /// Election timeout: time without a leader after which a voter starts an election.
    pub election: Duration,
    /// Whether one node of each zone follows discovery for the others.
    pub lists: bool,
    /// Whether operators may have the nodes restarted one after another.
    pub roll: bool,
    /// Periodic calls, each made by the holder of the duty of its name.
    pub scheduled_calls: Vec<ScheduledCall>,
}

/// A periodic call that one node makes for all.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledCall {
    /// Name.
    pub name: String,
    /// Address of the callee.
    pub at: SocketAddr,
    /// Path of the request.
    pub path: String,
    /// Interval between two calls.
    pub every: Duration,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawDuties {
    state: Option<PathBuf>,
    voters: Spanned<Vec<RawVoter>>,
    lease_ms: Option<Spanned<u64>>,
    election_ms: Option<Spanned<u64>>,
    #[serde(default)]
    lists: bool,
    #[serde(default)]
    roll: bool,
    #[serde(default, rename = "errand")]
    scheduled_calls: Vec<RawScheduledCall>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawVoter {
    name: Spanned<String>,
    at: Spanned<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawScheduledCall {
    name: Spanned<String>,
    at: Spanned<String>,
    path: Spanned<String>,
    every_ms: Option<Spanned<u64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    fleet: Spanned<String>,
    listen: Spanned<String>,
    advertise: Option<Spanned<String>>,
    #[serde(default)]
    zone: Option<Spanned<String>>,
    key_file: PathBuf,
    #[serde(default)]
    seeds: Vec<Spanned<String>>,
    #[serde(default)]
    timing: RawTiming,
    duties: Option<RawDuties>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawTiming {
    probe_ms: Option<Spanned<u64>>,
    answer_ms: Option<Spanned<u64>>,
    suspicion_ms: Option<Spanned<u64>>,
    contact_ms: Option<Spanned<u64>>,
    forget_s: Option<Spanned<u64>>,
}

/// Error in the file: the line, from 1, and the reason.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {reason}")]
pub struct ConfigError {
    line: usize,
    reason: String,
}

impl ConfigError {
    /// Line of the file, from 1.
    pub fn line(&self) -> usize {
        self.line
    }
}

impl File {
    /// Parses and validates the text of the file.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is wrong, by its line.
    pub fn parse(text: &str) -> Result<File, ConfigError> {
        let line = |at: usize| text[..at.min(text.len())].matches('\n').count() + 1;
        let raw: Raw = toml::from_str(text).map_err(|e| {
            let line = e.span().map_or(1, |s| line(s.start));
            ConfigError { line, reason: e.message().trim().replace('\n', " ") }
        })?;
        let bad = |at: &std::ops::Range<usize>, reason: &str| ConfigError {
            line: line(at.start),
            reason: reason.into(),
        };
        let address = |given: &Spanned<String>| match given.get_ref().parse::<SocketAddr>() {
            Ok(at) if !at.ip().is_unspecified() => Ok(at),
            _ => Err(bad(&given.span(), "an address and a port are wanted, such as 127.0.0.1:7946")),
        };
        let name = |given: &Spanned<String>, what: &str| match given.get_ref().as_str() {
            "" => Err(bad(&given.span(), &format!("{what} is empty"))),
            text if text.len() > NAME_MAX => Err(bad(&given.span(), &format!("{what} is too long"))),
            text => Ok(text.to_string()),
        };
        let span =
            |given: &Option<Spanned<u64>>, unit: u64, absent: Duration, least: u64, most: u64| match given {
                None => Ok(absent),
                Some(n) if (least..=most).contains(n.get_ref()) => {
                    Ok(Duration::from_millis(n.get_ref() * unit))
                }
                Some(n) => Err(bad(&n.span(), &format!("{least} to {most} is allowed"))),
            };
        let (t, d) = (&raw.timing, Timing::default());
        let timing = Timing {
            probe: span(&t.probe_ms, 1, d.probe, 100, 60_000)?,
            answer: span(&t.answer_ms, 1, d.answer, 10, 30_000)?,
            suspicion: span(&t.suspicion_ms, 1, d.suspicion, 200, 600_000)?,
            contact: span(&t.contact_ms, 1, d.contact, 100, 60_000)?,
            forget: span(&t.forget_s, 1000, d.forget, 10, 31_536_000)?,
        };
        let at = |given: &Option<Spanned<u64>>| given.as_ref().map_or(0..0, |n| n.span());
        if timing.answer * 2 > timing.probe {
            return Err(bad(&at(&t.answer_ms), "answer_ms must be half of probe_ms at most"));
        }
        if timing.forget < timing.suspicion * 2 {
            return Err(bad(&at(&t.forget_s), "forget_s must be twice suspicion_ms at least"));
        }
        let duties = match &raw.duties {
            None => None,
            Some(d) => {
                let mut voters = Vec::new();
                for voter in d.voters.get_ref() {
                    let own = name(&voter.name, "a voter's name")?;
                    if voters.iter().any(|(n, _)| *n == own) {
                        return Err(bad(&voter.name.span(), "this voter was named before"));
                    }
                    voters.push((own, address(&voter.at)?));
                }
                if ![3, 5].contains(&voters.len()) {
                    return Err(bad(&d.voters.span(), "3 or 5 voters are wanted"));
                }
                let mut scheduled_calls: Vec<ScheduledCall> = Vec::new();
                for e in &d.scheduled_calls {
                    let own = name(&e.name, "an errand's name")?;
                    if own.len() > SCHEDULED_CALL_NAME_MAX || scheduled_calls.len() >= SCHEDULED_CALLS_MAX {
                        return Err(bad(
                            &e.name.span(),
                            "the name is too long, or there are too many errands",
                        ));
                    }
                    if scheduled_calls.iter().any(|o| o.name == own) {
                        return Err(bad(&e.name.span(), "this errand was named before"));
                    }
                    let path = e.path.get_ref().clone();
                    if !path.starts_with('/') || !path.bytes().all(|b| b.is_ascii_graphic()) {
                        return Err(bad(&e.path.span(), "a path is wanted, such as /run"));
                    }
                    let every = span(&e.every_ms, 1, Duration::from_secs(1), 10, 86_400_000)?;
                    scheduled_calls.push(ScheduledCall { name: own, at: address(&e.at)?, path, every });
                }
                let lease = span(&d.lease_ms, 1, Duration::from_secs(10), 1000, 600_000)?;
                let election = span(&d.election_ms, 1, Duration::from_secs(1), 100, 60_000)?;
                let (state, lists, roll) = (d.state.clone(), d.lists, d.roll);
                Some(Duties { state, voters, lease, election, lists, roll, scheduled_calls })
            }
        };
        let listen = address(&raw.listen)?;
        Ok(File {
            fleet: name(&raw.fleet, "the fleet's name")?,
            listen,
            advertise: raw.advertise.as_ref().map_or(Ok(listen), address)?,
            zone: raw.zone.as_ref().map_or(Ok(String::new()), |z| name(z, "the zone"))?,
            key_file: raw.key_file,
            seeds: raw.seeds.iter().map(address).collect::<Result<_, _>>()?,
            timing,
            duties,
        })
    }
}
