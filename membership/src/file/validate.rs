//! Validation of the deserialized fleet file. Each error has the line of the invalid value.

use super::raw::{RawCoordination, RawFile, RawScheduledCall, RawTiming, RawVoter};
use super::{CoordinationSection, FileError, FleetFile, ScheduledCall};
use crate::machine::Timing;
use crate::member::NAME_MAX;
use std::net::SocketAddr;
use std::ops::{Range, RangeInclusive};
use std::time::Duration;
use toml::Spanned;

/// Maximum number of scheduled calls. Bounds the lease table that the voters replicate.
const SCHEDULED_CALLS_MAX: usize = 32;
/// Longest name of a scheduled call, in bytes.
const SCHEDULED_CALL_NAME_MAX: usize = 48;
const MS_PER_SECOND: u64 = 1000;

type Result<T> = std::result::Result<T, FileError>;

/// Validator, with the text of the file to look up line numbers.
pub(super) struct Validator<'a>(pub &'a str);

impl Validator<'_> {
    /// Line number, from 1, of a byte position.
    pub fn line(&self, position: usize) -> usize {
        self.0[..position.min(self.0.len())].matches('\n').count() + 1
    }

    /// Validates the whole file.
    pub fn file(&self, raw: RawFile) -> Result<FleetFile> {
        let timing = self.timing(&raw.timing)?;
        let coordination = raw.duties.as_ref().map(|section| self.coordination(section)).transpose()?;
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
            remove_after: self.duration(
                &raw.forget_s,
                MS_PER_SECOND,
                default.remove_after,
                10..=31_536_000,
            )?,
        };
        let span = |value: &Option<Spanned<u64>>| value.as_ref().map_or(0..0, Spanned::span);
        if timing.probe_timeout * 2 > timing.probe_interval {
            return self.error_at(span(&raw.answer_ms), "answer_ms must be at most half of probe_ms");
        }
        if timing.remove_after < timing.suspicion_timeout * 2 {
            return self.error_at(span(&raw.forget_s), "forget_s must be at least twice suspicion_ms");
        }
        Ok(timing)
    }

    fn coordination(&self, raw: &RawCoordination) -> Result<CoordinationSection> {
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
                return self.error_at(voter.name.span(), "duplicate voter name");
            }
            voters.push((name, self.address(&voter.at)?));
        }
        if ![3, 5].contains(&voters.len()) {
            return self.error_at(raw.span(), "expected 3 or 5 voters");
        }
        Ok(voters)
    }

    fn scheduled_calls(&self, raw: &[RawScheduledCall]) -> Result<Vec<ScheduledCall>> {
        let mut calls: Vec<ScheduledCall> = Vec::new();
        for call in raw {
            let name = self.name(&call.name, "an errand's name")?;
            if name.len() > SCHEDULED_CALL_NAME_MAX || calls.len() >= SCHEDULED_CALLS_MAX {
                let reason = "the errand's name is too long, or there are too many errands";
                return self.error_at(call.name.span(), reason);
            }
            if calls.iter().any(|other| other.name == name) {
                return self.error_at(call.name.span(), "duplicate errand name");
            }
            let path = call.path.get_ref().clone();
            if !path.starts_with('/') || !path.bytes().all(|byte| byte.is_ascii_graphic()) {
                return self.error_at(call.path.span(), "expected a URL path, such as /run");
            }
            let interval = self.duration(&call.every_ms, 1, Duration::from_secs(1), 10..=86_400_000)?;
            calls.push(ScheduledCall { name, address: self.address(&call.at)?, path, interval });
        }
        Ok(calls)
    }

    fn address(&self, value: &Spanned<String>) -> Result<SocketAddr> {
        match value.get_ref().parse::<SocketAddr>() {
            Ok(address) if !address.ip().is_unspecified() => Ok(address),
            _ => self.error_at(value.span(), "expected an IP address and a port, such as 127.0.0.1:7946"),
        }
    }

    fn name(&self, value: &Spanned<String>, description: &str) -> Result<String> {
        match value.get_ref().as_str() {
            "" => self.error_at(value.span(), &format!("{description} is empty")),
            name if name.len() > NAME_MAX => {
                self.error_at(value.span(), &format!("{description} is too long"))
            }
            name => Ok(name.to_string()),
        }
    }

    /// Converts a number of units, each of `unit_ms` milliseconds, after checking that it is in the allowed range.
    fn duration(
        &self,
        value: &Option<Spanned<u64>>,
        unit_ms: u64,
        default: Duration,
        allowed: RangeInclusive<u64>,
    ) -> Result<Duration> {
        let Some(number) = value else { return Ok(default) };
        if !allowed.contains(number.get_ref()) {
            let reason = format!("expected a value from {} to {}", allowed.start(), allowed.end());
            return self.error_at(number.span(), &reason);
        }
        Ok(Duration::from_millis(number.get_ref() * unit_ms))
    }

    fn error_at<T>(&self, span: Range<usize>, reason: &str) -> Result<T> {
        Err(FileError { line: self.line(span.start), reason: reason.into() })
    }
}
