//! Validation of the deserialized file. Each error names the line of the value.

use super::raw::{RawDuties, RawErrand, RawFile, RawTiming, RawVoter};
use super::{CoordinationSection, FileError, FleetFile, ScheduledCall};
use crate::machine::Timing;
use crate::member::NAME_MAX;
use std::net::SocketAddr;
use std::ops::{Range, RangeInclusive};
use std::time::Duration;
use toml::Spanned;

/// Most scheduled calls. Bounds what the voters replicate.
const SCHEDULED_CALLS_MAX: usize = 32;
/// Longest name of a scheduled call, in bytes.
const SCHEDULED_CALL_NAME_MAX: usize = 48;
/// Milliseconds in a second.
const SECOND: u64 = 1000;

type Result<T> = std::result::Result<T, FileError>;

/// Validator of a file, with its text for the lines in errors.
pub(super) struct Validator<'a>(pub &'a str);

impl Validator<'_> {
    /// The line, from 1, of a byte position.
    pub fn line(&self, position: usize) -> usize {
        self.0[..position.min(self.0.len())].matches('\n').count() + 1
    }

    /// Validates the whole file.
    pub fn file(&self, raw: RawFile) -> Result<FleetFile> {
        let timing = self.timing(&raw.timing)?;
        let coordination = raw.duties.as_ref().map(|duties| self.coordination(duties)).transpose()?;
        let listen = self.address(&raw.listen)?;
        Ok(FleetFile {
            fleet: self.name(&raw.fleet, "the fleet's name")?,
            listen,
            advertise: raw.advertise.as_ref().map_or(Ok(listen), |at| self.address(at))?,
            zone: raw.zone.as_ref().map_or(Ok(String::new()), |zone| self.name(zone, "the zone"))?,
            key_file: raw.key_file,
            seeds: raw.seeds.iter().map(|seed| self.address(seed)).collect::<Result<_>>()?,
            timing,
            coordination,
        })
    }

    fn timing(&self, raw: &RawTiming) -> Result<Timing> {
        let default = Timing::default();
        let timing = Timing {
            probe_interval: self.duration(&raw.probe_ms, 1, default.probe_interval, 100..=60_000)?,
            probe_timeout: self.duration(&raw.answer_ms, 1, default.probe_timeout, 10..=30_000)?,
            suspicion_timeout: self.duration(
                &raw.suspicion_ms,
                1,
                default.suspicion_timeout,
                200..=600_000,
            )?,
            reconnect_interval: self.duration(
                &raw.contact_ms,
                1,
                default.reconnect_interval,
                100..=60_000,
            )?,
            remove_after: self.duration(&raw.forget_s, SECOND, default.remove_after, 10..=31_536_000)?,
        };
        let span = |value: &Option<Spanned<u64>>| value.as_ref().map_or(0..0, Spanned::span);
        if timing.probe_timeout * 2 > timing.probe_interval {
            return self.error(span(&raw.answer_ms), "answer_ms must be half of probe_ms at most");
        }
        if timing.remove_after < timing.suspicion_timeout * 2 {
            return self.error(span(&raw.forget_s), "forget_s must be twice suspicion_ms at least");
        }
        Ok(timing)
    }

    fn coordination(&self, raw: &RawDuties) -> Result<CoordinationSection> {
        Ok(CoordinationSection {
            voters: self.voters(&raw.voters)?,
            scheduled_calls: self.scheduled_calls(&raw.errand)?,
            lease_duration: self.duration(&raw.lease_ms, 1, Duration::from_secs(10), 1000..=600_000)?,
            election_timeout: self.duration(&raw.election_ms, 1, Duration::from_secs(1), 100..=60_000)?,
            state_directory: raw.state.clone(),
            list_broadcast: raw.lists,
            rolling_restart: raw.roll,
        })
    }

    fn voters(&self, raw: &Spanned<Vec<RawVoter>>) -> Result<Vec<(String, SocketAddr)>> {
        let mut voters: Vec<(String, SocketAddr)> = Vec::new();
        for voter in raw.get_ref() {
            let name = self.name(&voter.name, "a voter's name")?;
            if voters.iter().any(|(other, _)| *other == name) {
                return self.error(voter.name.span(), "this voter was named before");
            }
            voters.push((name, self.address(&voter.at)?));
        }
        if ![3, 5].contains(&voters.len()) {
            return self.error(raw.span(), "3 or 5 voters are wanted");
        }
        Ok(voters)
    }

    fn scheduled_calls(&self, raw: &[RawErrand]) -> Result<Vec<ScheduledCall>> {
        let mut calls: Vec<ScheduledCall> = Vec::new();
        for call in raw {
            let name = self.name(&call.name, "an errand's name")?;
            if name.len() > SCHEDULED_CALL_NAME_MAX || calls.len() >= SCHEDULED_CALLS_MAX {
                let reason = "the name is too long, or there are too many errands";
                return self.error(call.name.span(), reason);
            }
            if calls.iter().any(|other| other.name == name) {
                return self.error(call.name.span(), "this errand was named before");
            }
            let path = call.path.get_ref().clone();
            if !path.starts_with('/') || !path.bytes().all(|byte| byte.is_ascii_graphic()) {
                return self.error(call.path.span(), "a path is wanted, such as /run");
            }
            let every = self.duration(&call.every_ms, 1, Duration::from_secs(1), 10..=86_400_000)?;
            calls.push(ScheduledCall { name, address: self.address(&call.at)?, path, interval: every });
        }
        Ok(calls)
    }

    fn address(&self, value: &Spanned<String>) -> Result<SocketAddr> {
        match value.get_ref().parse::<SocketAddr>() {
            Ok(address) if !address.ip().is_unspecified() => Ok(address),
            _ => self.error(value.span(), "an address and a port are wanted, such as 127.0.0.1:7946"),
        }
    }

    fn name(&self, value: &Spanned<String>, what: &str) -> Result<String> {
        match value.get_ref().as_str() {
            "" => self.error(value.span(), &format!("{what} is empty")),
            name if name.len() > NAME_MAX => self.error(value.span(), &format!("{what} is too long")),
            name => Ok(name.to_string()),
        }
    }

    /// A number of units, each of some milliseconds, that lies in a range.
    fn duration(
        &self,
        value: &Option<Spanned<u64>>,
        unit: u64,
        default: Duration,
        allowed: RangeInclusive<u64>,
    ) -> Result<Duration> {
        let Some(number) = value else { return Ok(default) };
        if !allowed.contains(number.get_ref()) {
            let reason = format!("{} to {} is allowed", allowed.start(), allowed.end());
            return self.error(number.span(), &reason);
        }
        Ok(Duration::from_millis(number.get_ref() * unit))
    }

    fn error<T>(&self, span: Range<usize>, reason: &str) -> Result<T> {
        Err(FileError { line: self.line(span.start), reason: reason.into() })
    }
}
