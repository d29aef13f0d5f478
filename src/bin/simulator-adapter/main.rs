//! Hosts instances of the decision module on the simulator's wire. It decides nothing.

mod codec;

use codec::{Batch, Record, Reply, HEADER};
use dispatch_policy::api::{
    Action, AttemptEnd, Availability, Endpoint, Event, LoadReport, Notice, Outcome, Request, WorkerId,
};
use dispatch_policy::settings::{self, ReportField};
use dispatch_policy::Policy;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};

struct Instance {
    policy: Policy,
    fields: Vec<ReportField>,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Instance>,
    lists: BTreeMap<u8, Vec<Endpoint>>,
    actions: Vec<Action>,
    reply: Reply,
}

fn main() {
    if let Err(message) = run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        eprintln!("simulator-adapter: {message}");
        std::process::exit(2);
    }
}

fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut frame = Vec::new();
    while let Some(batch) = next_batch(input)? {
        host.reply.clear();
        for record in batch.records() {
            host.event(&batch, record)?;
        }
        host.reply.frame(batch.serial, &mut frame);
        output.write_all(&frame).and_then(|()| output.flush()).map_err(|e| format!("cannot reply: {e}"))?;
    }
    Ok(())
}

fn next_batch(input: &mut impl Read) -> Result<Option<Batch>, String> {
    let mut header = Vec::with_capacity(HEADER);
    input.take(HEADER as u64).read_to_end(&mut header).map_err(|e| format!("cannot read: {e}"))?;
    if header.is_empty() {
        return Ok(None);
    }
    let header: [u8; HEADER] = header.try_into().map_err(|_| "the input ends inside a header".to_string())?;
    let rest = codec::frame_len(&header)? - HEADER;
    let mut body = Vec::with_capacity(rest.min(1 << 20));
    input.take(rest as u64).read_to_end(&mut body).map_err(|e| format!("cannot read: {e}"))?;
    if body.len() < rest {
        return Err(format!("the input ends inside a frame, {} bytes early", rest - body.len()));
    }
    Batch::parse(&header, body).map(Some)
}

fn outcome(code: u16) -> Result<Outcome, String> {
    Ok(match code {
        100 => Outcome::Success,
        301 => Outcome::Error,
        302 => Outcome::Rejected,
        303 => Outcome::Timeout,
        304 => Outcome::ConnectFailed,
        305 => Outcome::ConnectionLost,
        306 => Outcome::Cancelled,
        307 => Outcome::NotSent,
        _ => return Err(format!("outcome {code} is not known")),
    })
}

fn report(r: Record, at: usize, fields: &[ReportField]) -> Result<Option<LoadReport>, String> {
    let n = usize::from(r.u8(at)?);
    let mut report = LoadReport::default();
    for (i, field) in fields.iter().enumerate().take(n.min(4)) {
        field.set(&mut report, f64::from(r.f32(at + 1 + 4 * i)?));
    }
    Ok(if n == 0 { None } else { Some(report) })
}

fn entry(r: Record) -> Result<Endpoint, String> {
    Ok(Endpoint {
        kind: r.u8(0)?,
        zone: r.u8(1)?,
        cell: u32::from(r.u16(2)?),
        availability: match r.u8(4)? {
            0 => Availability::Gone,
            1 => Availability::Ready,
            2 => Availability::Draining,
            v => return Err(format!("availability {v} is not known")),
        },
        weight: f64::from(r.f32(5)?),
        worker: WorkerId(r.runner(9)?),
        started_at: r.u64(15)?,
    })
}

impl Host {
    fn event(&mut self, batch: &Batch, r: Record) -> Result<(), String> {
        let code = r.u8(0)?;
        if code == 3 {
            let list = batch.entries(r.u32(2)?, r.u32(6)?)?.map(entry).collect::<Result<_, _>>()?;
            self.lists.insert(r.u8(1)?, list);
            return Ok(());
        }
        let i = r.u32(1)?;
        if code == 10 {
            let text = batch.tail(r.u32(13)?, r.u32(17)? as usize)?;
            let text = std::str::from_utf8(text).map_err(|_| "settings: not text".to_string())?;
            let (settings, fields) = settings::parse(text).map_err(|e| e.to_string())?;
            let policy = Policy::new(settings, r.u64(5)?, batch.now).map_err(|e| format!("settings: {e}"))?;
            self.instances.insert(i, Instance { policy, fields });
            return Ok(());
        }
        let instance = self.instances.get_mut(&i).ok_or_else(|| format!("instance {i} is not known"))?;
        let id = || r.u32(5).map(u64::from);
        let event = match code {
            0 => Event::TimerExpired,
            1 => Event::AttemptEnded(AttemptEnd {
                id: id()?,
                attempt: u32::from(r.u16(9)?),
                outcome: outcome(r.u16(17)?)?,
                request_done: r.u8(23)? != 0,
                not_attributable: false, // its wire doesn't tell
                report: report(r, 28, &instance.fields)?,
            }),
            2 => {
                let flags = r.u16(37)?;
                let hint = r.u32(25)?;
                Event::RequestReceived(Request {
                    id: id()?,
                    class: usize::from(r.u16(9)?),
                    tenant: usize::from(r.u16(11)?),
                    time_left_us: u64::from(r.u32(21)?),
                    work_hint_us: if flags & 1 != 0 && hint > 0 { Some(u64::from(hint)) } else { None },
                    is_retry: flags & 2 != 0,
                    affinity_key: r.u64(13)?,
                    slots: f64::from(r.f32(29)?),
                    memory: f64::from(r.f32(33)?),
                })
            }
            4 => Event::ProbeEnded {
                worker: WorkerId(r.runner(5)?),
                ok: r.u16(11)? == 100,
                report: report(r, 17, &instance.fields)?,
            },
            5 => Event::PeerMessage {
                from: r.u32(5)?,
                bytes: batch.tail(r.u32(9)?, r.u32(13)? as usize)?.to_vec(),
            },
            6 => Event::ResponseStreaming { id: id()?, attempt: u32::from(r.u16(19)?) },
            7 => {
                let (id, attempt) = (id()?, u32::from(r.u16(9)?));
                match r.u8(17)? {
                    1 => Event::Started { id, attempt },
                    2 => Event::Progress { id, attempt, done: f64::from(r.f32(18)?) },
                    _ => return Ok(()),
                }
            }
            8 => {
                self.instances.remove(&i);
                return Ok(());
            }
            9 => {
                let table = r.u8(10)?;
                let list =
                    || self.lists.get(&table).cloned().ok_or_else(|| format!("list {table} is not known"));
                match r.u8(9)? {
                    0 => Event::EndpointChanges(list()?),
                    1 | 2 => Event::EndpointList(list()?),
                    3 => Event::EndpointWatchFailed,
                    v => return Err(format!("list news of kind {v} is not known")),
                }
            }
            11 => Event::ClientDisconnected { id: id()? },
            v => return Err(format!("event code {v} is not known")),
        };
        instance.policy.handle(batch.now, &event, &mut self.actions);
        for action in self.actions.drain(..) {
            write(&mut self.reply, i, &action);
        }
        Ok(())
    }
}

fn name(worker: WorkerId) -> String {
    let [_, _, a, b, c, d, p, q] = worker.0.to_be_bytes();
    format!("{a}.{b}.{c}.{d}:{}", u16::from_be_bytes([p, q]))
}

fn words(trace: &Notice) -> String {
    match trace {
        Notice::WorkerUnresponsive { worker: w } => {
            format!("worker {} is silent: no new jobs but a trickle", name(*w))
        }
        Notice::WorkerFailing { worker: w } => {
            format!("worker {} fails jobs: no new jobs but a trickle", name(*w))
        }
        Notice::WorkerRecovered { worker: w } => format!("worker {} is trusted again", name(*w)),
        Notice::Throttling { admitted_per_s: u, offered_per_s: offered } => {
            format!("throttling: {u:.1} jobs/s admitted of {offered:.1} offered")
        }
        Notice::RequestGivenUp { request: id, reason } => format!("request {id} is given up: {reason:?}"),
        Notice::EndpointListUnavailable => "worker list not to be had: asking again".to_string(),
    }
}

fn write(reply: &mut Reply, i: u32, action: &Action) {
    let short = |t: u64| (t.min(u64::from(u32::MAX)) as u32).to_be_bytes();
    match action {
        Action::Send { id, worker } => {
            reply.push(0, i, &[&short(*id), &worker.0.to_be_bytes()[2..], &[0; 4]])
        }
        Action::Reject { id, retry_after_us } => reply.push(1, i, &[&short(*id), &short(*retry_after_us)]),
        Action::Fail { id } => reply.push(2, i, &[&short(*id)]),
        Action::Cancel { id, attempt } => {
            reply.push(3, i, &[&short(*id), &(*attempt as u16).to_be_bytes()]);
        }
        Action::SetTimer { after_us } => reply.push(4, i, &[&short(*after_us), &0u64.to_be_bytes()]),
        Action::Probe { worker } => reply.push(5, i, &[&worker.0.to_be_bytes()[2..]]),
        Action::WatchEndpoints => reply.push(10, i, &[&[1]]),
        Action::CloseIdleConnections { worker } => reply.push(6, i, &[&worker.0.to_be_bytes()[2..]]),
        Action::SendPeerMessage { to, bytes } => {
            let at = reply.tail(bytes);
            reply.push(7, i, &[&to.to_be_bytes(), &at]);
        }
        Action::Notify(Notice::RequestGivenUp { .. }) => {} // one for each: more than a report holds
        Action::Notify(trace) => {
            let at = reply.tail(words(trace).as_bytes());
            reply.push(8, i, &[&at]);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn frame(records: &[[u8; 48]], tail: &[u8]) -> Vec<u8> {
        let len = HEADER + 48 * records.len() + tail.len();
        let mut f = vec![0, 0, 0, 1, 0, 0, 0, 0, 0, 0x80, 0x5c, 0x5a];
        f.extend((len as u32).to_be_bytes());
        f.extend((records.len() as u32).to_be_bytes());
        records.iter().for_each(|r| f.extend(r));
        f.extend(tail);
        f
    }

    fn record(bytes: &[u8]) -> [u8; 48] {
        let mut r = [0; 48];
        r[..bytes.len()].copy_from_slice(bytes);
        r
    }

    fn feed(input: &[u8]) -> (Result<(), String>, Vec<u8>) {
        let mut out = Vec::new();
        (run(&mut &input[..], &mut out), out)
    }

    #[test]
    fn an_empty_batch_gets_an_empty_reply() {
        let (end, out) = feed(&frame(&[], b""));
        assert!(end.is_ok());
        assert_eq!(out, [0, 0, 0, 1, 0, 0, 0, 12, 0, 0, 0, 0]);
    }

    #[test]
    fn malformed_frames_end_it_with_a_message_and_no_half_reply() {
        let unknown_code = frame(&[record(&[99, 0, 0, 0, 1])], b"");
        let unknown_instance = frame(&[record(&[0, 0, 0, 0, 1])], b"");
        let cut = &frame(&[record(&[0])], b"")[..40];
        let bad_settings =
            frame(&[record(&[10, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 9])], b"x");
        for bad in [&unknown_code[..], &unknown_instance[..], cut, &bad_settings[..], &[1, 2, 3][..]] {
            let (end, out) = feed(bad);
            assert!(end.is_err());
            assert!(out.is_empty());
        }
    }

    #[test]
    fn a_dispatcher_sends_what_it_accepts() {
        let text = "Profiles.count=1\nProfiles.0.DeadlineUs=5000000\nProfiles.0.AimUs=100000\n\
            Profiles.0.Semantics=safe\nLimits.MaxAttempts=2\n";
        let mut hello = record(&[10, 0, 0, 0, 3]);
        hello[17..21].copy_from_slice(&(text.len() as u32).to_be_bytes());
        let mut directory = record(&[3, 0]);
        directory[2..6].copy_from_slice(&(text.len() as u32).to_be_bytes());
        directory[9] = 1;
        let news = record(&[9, 0, 0, 0, 3, 0, 0, 0, 1, 2, 0]);
        let mut accept = record(&[2, 0, 0, 0, 3, 0, 0, 0, 77]);
        accept[21..25].copy_from_slice(&5_000_000u32.to_be_bytes());
        let mut tail = text.as_bytes().to_vec();
        tail.extend([0, 0, 0, 0, 1, 0x3f, 0x80, 0, 0, 10, 18, 74, 7, 0x1f, 0x43, 0, 0, 0, 0, 0, 0, 0, 0]);
        let (end, out) = feed(&frame(&[hello, directory, news, accept], &tail));
        assert!(end.is_ok(), "{end:?}");
        let sent = out[12..].chunks(24).find(|r| r[0] == 0).expect("a relay");
        assert_eq!(&sent[1..19], [0, 0, 0, 3, 0, 0, 0, 77, 10, 18, 74, 7, 0x1f, 0x43, 0, 0, 0, 0]);
    }
}
