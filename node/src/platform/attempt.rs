//! One attempt at a worker, from its connection to its one outcome.

use super::fields::{self, News};
use super::in_flight_ids::InFlightId;
use super::job_handover::{Adopted, Line};
use super::pool::{ConnectError, Connection, Pool};
use super::send_guard::SendBlocked;
use super::socket::PeerObserver;
use super::Job;
use crate::counters::Counters;
use crate::dispatcher::{Handle, Tag};
use crate::names::Names;
use bytes::{Bytes, BytesMut};
use dispatch_policy::api::{LoadReport, Outcome, WorkerId};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_LENGTH, HOST};
use hyper::http::uri::PathAndQuery;
use hyper::{Request, Response, StatusCode, Uri};
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::{timeout, Instant};

/// A worker's answer holds 64 KiB at most, so a line does.
const LINE_MAX: usize = 64 * 1024;
/// What a worker that turns a job away may say beside, for its connection to be kept.
const WORDS_MAX: usize = 4096;
/// A worker's second answer may come some milliseconds behind the first. One without an id, on a connection that was given
/// out again so soon, may be that.
const ECHO: Duration = Duration::from_millis(20);
/// For which a finished answer's end is awaited before its connection is given up.
const TAIL_WAIT: Duration = Duration::from_millis(250);

/// What goes on unchanged.
pub struct Parcel {
    pub id: Arc<InFlightId>,
    pub key: Option<HeaderValue>,
    pub target: PathAndQuery,
    pub body: Bytes,
    /// Where its connection can be found.
    pub line: Arc<Line>,
    /// Its client's connection.
    pub client: Option<PeerObserver>,
    /// An attempt that another process made, to go on with.
    pub adopted: Option<Adopted>,
}

/// What attempts share.
pub struct AttemptRunner {
    pub handle: Handle<Job>,
    pub pool: Arc<Pool>,
    pub names: watch::Receiver<Arc<Names>>,
    pub counters: Arc<Counters>,
}

struct End {
    outcome: Outcome,
    report: Option<LoadReport>,
    result: Bytes,
    blameless: bool,                 // it tells nothing of the worker
    rest: Option<(Incoming, usize)>, // to be read before the connection is free again, so much at most
}

impl End {
    fn plain(outcome: Outcome) -> End {
        End { outcome, report: None, result: Bytes::new(), blameless: false, rest: None }
    }
}

impl AttemptRunner {
    /// Carries one attempt through and reports its one outcome.
    pub async fn carry(
        self: Arc<Self>,
        tag: Tag,
        mut parcel: Parcel,
        worker: WorkerId,
        until: Instant,
        stopped: oneshot::Receiver<Outcome>,
    ) {
        let (mut connection, adopted) = (None, parcel.adopted.take());
        let end = tokio::select! {
            biased;
            end = self.exchange(tag, &parcel, worker, until, adopted, &mut connection) => end,
            // A sender that is dropped unused means that the core has ended.
            why = stopped => End::plain(why.unwrap_or(Outcome::Cancelled)),
        };
        let End { outcome, report, result, blameless, rest } = end;
        if parcel.line.moved.load(Ordering::Relaxed) {
            return; // another process goes on with it
        }
        let Some((rest, most)) = rest else {
            // Guards the rule of one copy: the connection is closed before the core may send a new one.
            if let Some(connection) = connection {
                connection.close().await;
            }
            if blameless {
                return self.handle.ended_blameless(tag, outcome);
            }
            return self.handle.ended(tag, outcome, report, result);
        };
        drop(parcel); // the id is open no more once the answer is out
        self.handle.ended(tag, outcome, report, result);
        let Some(mut connection) = connection else { return };
        let clean = timeout(TAIL_WAIT, ends(rest, most)).await.unwrap_or(false);
        if clean && connection.sender.ready().await.is_ok() {
            connection.job_ended = Some(Instant::now());
            self.pool.keep(worker, connection);
        }
    }

    async fn exchange(
        &self,
        tag: Tag,
        parcel: &Parcel,
        worker: WorkerId,
        until: Instant,
        adopted: Option<Adopted>,
        place: &mut Option<Connection>,
    ) -> End {
        let again = adopted.is_some();
        let connection = match adopted {
            // An attempt that was made by another process may have run.
            Some(adopted) => {
                self.pool.adopt(adopted, parcel.body.len()).await.ok_or(End::plain(Outcome::Reset))
            }
            None => self.pool.connect(worker).await.map_err(|why| End {
                blameless: why == ConnectError::Here,
                ..End::plain(Outcome::ConnectFailed)
            }),
        };
        let connection = match connection {
            Ok(connection) => connection,
            Err(end) => return end,
        };
        let connection = place.insert(connection);
        if !again {
            self.guard(connection, parcel, worker, until);
        }
        let link = (connection.socket_handle.clone(), connection.meter.clone(), connection.address);
        *parcel.line.link.lock().unwrap_or_else(PoisonError::into_inner) = Some(link);
        let request = parcel.request(connection, until);
        let soon = connection.job_ended.is_some_and(|at| at.elapsed() < ECHO);
        match connection.sender.send_request(request).await {
            // Guards what must not run twice against another job's 'never ran': nothing was surely said of this one.
            Ok(response) if soon && response.status() != StatusCode::OK => {
                End { blameless: true, ..End::plain(Outcome::Reset) }
            }
            Ok(response) => self.read(tag, parcel, response).await,
            Err(e) => {
                log::debug!("attempt {tag:?}: {e}");
                if let Some(barred) = connection.guard.blocked_by() {
                    self.counters.held_back.add();
                    log::debug!(request = tag.id, attempt = tag.attempt, reason:? = barred; "held back");
                    return match barred {
                        SendBlocked::ClientLeft => End::plain(Outcome::Cancelled),
                        SendBlocked::Overdue | SendBlocked::Withdrawn => {
                            End { blameless: true, ..End::plain(Outcome::ConnectFailed) }
                        }
                    };
                }
                let whole =
                    again || connection.meter.lock().map_or(true, |w| w.is_complete(parcel.body.len()));
                // Unless some of the request surely is still here, it may have run.
                let outcome = if whole { Outcome::Reset } else { Outcome::ConnectFailed };
                // One that breaks on a kept connection with no word on this job: idle connections break unseen.
                End { blameless: whole && connection.kept, ..End::plain(outcome) }
            }
        }
    }

    /// Has the rules asked right before the request's first byte goes out.
    fn guard(&self, connection: &Connection, parcel: &Parcel, worker: WorkerId, until: Instant) {
        let (line, client, pool) = (parcel.line.clone(), parcel.client.clone(), self.pool.clone());
        connection.guard.arm(move || {
            // Whether or not an attempt may be called off: of one that has not begun, nothing need go out.
            let unwanted = line.unwanted.load(Ordering::Relaxed);
            if unwanted || client.is_some_and(|client| client.is_peer_closed()) {
                return Err(SendBlocked::ClientLeft);
            }
            if Instant::now() >= until {
                return Err(SendBlocked::Overdue);
            }
            if !pool.may_begin(worker) {
                return Err(SendBlocked::Withdrawn);
            }
            Ok(())
        });
    }

    async fn read(&self, tag: Tag, parcel: &Parcel, response: Response<Incoming>) -> End {
        let (head, mut body) = response.into_parts();
        if head.status != StatusCode::OK {
            let not_run = head.headers.get("x-not-run").is_some_and(|v| v == "1");
            let outcome = match head.status {
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => Outcome::Full,
                _ => Outcome::Error,
            };
            let report = fields::load_header(&head.headers, &self.names.borrow());
            return End {
                outcome,
                report,
                result: Bytes::new(),
                blameless: false,
                rest: Some((body, WORDS_MAX)),
            };
        }
        self.handle.taken(tag);
        let mut buffer = BytesMut::new();
        loop {
            while let Some(at) = buffer.iter().position(|&b| b == b'\n') {
                let line = buffer.split_to(at + 1);
                if line.trim_ascii().is_empty() {
                    continue;
                }
                let Some(news) = fields::news(&line, parcel.id.value.as_bytes(), &self.names.borrow()) else {
                    log::warn!("attempt {tag:?}: a bad line from its worker");
                    return End::plain(Outcome::Reset);
                };
                let (outcome, report, result) = match news {
                    News::Started => {
                        self.handle.started(tag);
                        continue;
                    }
                    News::Running(done) => {
                        self.handle.progress(tag, done);
                        continue;
                    }
                    News::Done(result, report) => (Outcome::Ok, report, result),
                    News::Failed(report) => (Outcome::Error, report, Bytes::new()),
                    News::Returned(report) => (Outcome::Full, report, Bytes::new()),
                    News::Lost(report) => (Outcome::Reset, report, Bytes::new()),
                };
                return End { outcome, report, result, blameless: false, rest: Some((body, 0)) };
            }
            // Guards memory against a line without an end.
            if buffer.len() > LINE_MAX {
                log::warn!("attempt {tag:?}: an endless line from its worker");
                return End::plain(Outcome::Reset);
            }
            match body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        buffer.extend_from_slice(data);
                    }
                }
                Some(Err(_)) => return End::plain(Outcome::Reset),
                // The last line may lack its line end.
                None if !buffer.trim_ascii().is_empty() => buffer.extend_from_slice(b"\n"),
                None => return End::plain(Outcome::Reset),
            }
        }
    }
}

impl Parcel {
    fn request(&self, connection: &Connection, until: Instant) -> Request<Full<Bytes>> {
        let left = until.saturating_duration_since(Instant::now()).as_secs_f64();
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = hyper::Method::POST;
        *request.uri_mut() = Uri::from(self.target.clone());
        let headers = request.headers_mut();
        headers.insert("x-request-id", self.id.value.clone());
        if let Some(key) = &self.key {
            headers.insert("idempotency-key", key.clone());
        }
        headers.insert(CONTENT_LENGTH, HeaderValue::from(self.body.len()));
        for (name, value) in [
            (HOST, connection.address.to_string()),
            ("x-deadline".parse().expect("a name"), format!("{left:.3}")),
        ] {
            headers.insert(name, HeaderValue::try_from(value).expect("plain text"));
        }
        request
    }
}

/// Whether an answer ends with no more than this, white space aside.
async fn ends(mut rest: Incoming, most: usize) -> bool {
    let mut seen = 0;
    loop {
        match rest.frame().await {
            None => return true,
            Some(Ok(frame)) => seen += frame.data_ref().map_or(0, |d| d.trim_ascii().len()),
            Some(Err(_)) => return false,
        }
        if seen > most {
            return false;
        }
    }
}
