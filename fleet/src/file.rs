//! The operator's file that lets a node talk to the others; see `deploy/fleet.toml`.

use crate::machine::Timing;
use crate::member::NAME_MAX;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use toml::Spanned;

/// Errands at most, and how long a name of one may be: bounds what the voters agree on.
const ERRANDS_MAX: usize = 32;
const ERRAND_NAME: usize = 48;

/// What the file tells.
#[derive(Clone, Debug, PartialEq)]
pub struct File {
    /// The fleet's name: installations with different names never mix, not even with one key.
    pub fleet: String,
    /// Where the node listens, with UDP and TCP.
    pub listen: SocketAddr,
    /// Where the others reach it, if that differs.
    pub advertise: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Where the keys are; as it stands in the file.
    pub key_file: PathBuf,
    /// Nodes to ask first; the node itself may be among them.
    pub seeds: Vec<SocketAddr>,
    /// How often and for how long.
    pub timing: Timing,
    /// The duties that one node holds at a time; none without the section.
    pub duties: Option<Duties>,
}

/// What the section `duties` tells.
#[derive(Clone, Debug, PartialEq)]
pub struct Duties {
    /// The folder of what a voter must not forget; as it stands in the file. A node without one is never a voter.
    pub state: Option<PathBuf>,
    /// The voters that found themselves, and that everybody asks first: their names and where they are reached.
    pub voters: Vec<(String, SocketAddr)>,
    /// For which a duty is granted.
    pub lease: Duration,
    /// Without a leader, before a voter calls for an election.
    pub election: Duration,
    /// Whether one node of each zone follows discovery for the others.
    pub lists: bool,
    /// Whether operators may have the nodes restarted one after another.
    pub roll: bool,
    /// Calls that whoever holds the duty of that name makes.
    pub errands: Vec<Errand>,
}

/// A call that one node makes for all, now and then.
#[derive(Clone, Debug, PartialEq)]
pub struct Errand {
    /// Its name.
    pub name: String,
    /// Whom to call.
    pub at: SocketAddr,
    /// The path of the call.
    pub path: String,
    /// How often.
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
    #[serde(default)]
    errand: Vec<RawErrand>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawVoter {
    name: Spanned<String>,
    at: Spanned<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawErrand {
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

/// Why the file was not taken: the line, from 1 on, and what is wrong there.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {what}")]
pub struct BadFile {
    line: usize,
    what: String,
}

impl File {
    /// Reads the file's text and checks it whole.
    pub fn parse(text: &str) -> Result<File, BadFile> {
        let line = |at: usize| text[..at.min(text.len())].matches('\n').count() + 1;
        let raw: Raw = toml::from_str(text).map_err(|e| {
            let line = e.span().map_or(1, |s| line(s.start));
            BadFile { line, what: e.message().trim().replace('\n', " ") }
        })?;
        let bad =
            |at: &std::ops::Range<usize>, what: &str| BadFile { line: line(at.start), what: what.into() };
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
                let mut errands: Vec<Errand> = Vec::new();
                for e in &d.errand {
                    let own = name(&e.name, "an errand's name")?;
                    if own.len() > ERRAND_NAME || errands.len() >= ERRANDS_MAX {
                        return Err(bad(
                            &e.name.span(),
                            "the name is too long, or there are too many errands",
                        ));
                    }
                    if errands.iter().any(|o| o.name == own) {
                        return Err(bad(&e.name.span(), "this errand was named before"));
                    }
                    let path = e.path.get_ref().clone();
                    if !path.starts_with('/') || !path.bytes().all(|b| b.is_ascii_graphic()) {
                        return Err(bad(&e.path.span(), "a path is wanted, such as /run"));
                    }
                    let every = span(&e.every_ms, 1, Duration::from_secs(1), 10, 86_400_000)?;
                    errands.push(Errand { name: own, at: address(&e.at)?, path, every });
                }
                let lease = span(&d.lease_ms, 1, Duration::from_secs(10), 1000, 600_000)?;
                let election = span(&d.election_ms, 1, Duration::from_secs(1), 100, 60_000)?;
                let (state, lists, roll) = (d.state.clone(), d.lists, d.roll);
                Some(Duties { state, voters, lease, election, lists, roll, errands })
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

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = "fleet = \"scp\"\nlisten = \"127.0.0.1:7946\"\nkey_file = \"fleet.key\"\n";

    #[test]
    fn a_bad_file_is_told_by_its_line() {
        assert_eq!(File::parse(GOOD).unwrap().advertise.port(), 7946);
        for (more, line) in [
            ("seeds = [\"127.0.0.1:1\",\n\"nowhere\"]", 5),
            ("zome = \"koper\"", 4),
            ("zone = \"\"", 4),
            ("advertise = \"0.0.0.0:1\"", 4),
            ("[timing]\nprobe_ms = 1", 5),
            ("[timing]\nprobe_ms = 1000\n\nanswer_ms = 600", 7),
            ("[timing]\nforget_s = 10\nsuspicion_ms = 9000", 5),
            ("[timing]\nprobe = 1", 5),
            ("seeds = [", 4),
            ("[duties]\nvoters = []", 5),
            ("[duties]\nlease_ms = 5", 4),
            ("[duties]\nvoters = [{ name = \"a\", at = \"127.0.0.1:1\" },\n{ name = \"a\", at = \"127.0.0.1:2\" }]", 6),
            ("fleet = \"scp\"", 4),
        ] {
            let bad = File::parse(&format!("{GOOD}{more}")).unwrap_err();
            assert_eq!(bad.line, line, "{more}: {bad}");
            assert!(!bad.to_string().contains('\n'), "{bad}");
        }
        assert!(File::parse("").is_err());
    }
}
