//! The clients' side: connections, requests in, one final answer out for each.

use super::connection_slots::Slot;
use super::framing::{Framing, MessageMonitor, MonitoredStream};
use super::in_flight_ids::InFlightId;
use super::job_handover::{Adopted, Moving};
use super::resource_budget::ResourceBudget;
use super::socket::Socket;
use super::{fields, job_handover, Job};
use crate::acceptor::{Accepted, Acceptor};
use crate::counters::Counters;
use crate::dispatcher::{Answer, Handle};
use crate::invariants::Invariant;
use crate::names::Names;
use crate::phase::{Phase, Phases};
use bytes::Bytes;
use dispatch_policy::api::RequestId;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, ALLOW, CONNECTION, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{oneshot, watch, Notify};
use tokio::time::{sleep, timeout, timeout_at, Instant};

const BODY_MAX: usize = 64 * 1024;
/// A client's head and answers in passing; bodies are read in pieces of this.
const BUFFER: usize = 16 * 1024;
const BACKLOG: u32 = 1024;
/// For which a connection over the budget is held so that its client reads the refusal.
const TURN_AWAY_WAIT: Duration = Duration::from_secs(1);
/// For which a connection that makes way for another may take to bring its last answer out.
const LEAVE_WAIT: Duration = Duration::from_millis(50);
/// For which a process that has handed over stays at least, to serve again should the new one fail.
const LINGER: Duration = Duration::from_secs(5);
/// For which a node that was told to stop waits beyond the last deadline, for answers to reach their clients.
const LAST_WAIT: Duration = Duration::from_secs(1);
/// Advice to clients over the budget.
const SOON: Duration = Duration::from_millis(500);

/// Listens; what the kernel's backlog holds counts as taken, so it is large. With `beside`, also where a process of
/// the node listens that hangs; else an address that is in use is an error.
pub fn listen(address: SocketAddr, beside: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    if beside {
        socket.set_reuseport(true)?;
        socket.bind(address)?;
    } else {
        // Guards against a second node that is started on this one's address and gets part of its clients: the
        // address may be shared only once it is this process's.
        socket.bind(address)?;
        if let Err(e) = socket.set_reuseport(true) {
            log::debug!("no shared address: {e}");
        }
    }
    socket.listen(BACKLOG)
}

type Reply = Response<Full<Bytes>>;

/// The server of one node.
pub struct Server {
    pub handle: Handle<Job>,
    pub names: watch::Receiver<Arc<Names>>,
    pub counters: Arc<Counters>,
    pub budget: Arc<ResourceBudget>,
    pub phases: Phases,
    pub phase: watch::Receiver<Phase>,
}

impl Server {
    /// Accepts and serves; ends once the node is told to stop, or has handed over, and all that was taken is
    /// answered.
    pub async fn run(self: Arc<Self>, listener: Arc<TcpListener>) {
        let server = self;
        let (mut phase, mut ours) = (server.phase.clone(), true);
        let mut acceptor = Acceptor::default();
        while ours || *phase.borrow() != Phase::Closing {
            if phase.borrow_and_update().accepts() {
                ours = true;
                let accepted = tokio::select! {
                    biased;
                    accepted = acceptor.next(&listener) => Some(accepted),
                    _ = phase.wait_for(|p| !p.accepts()) => None,
                };
                acceptor.looks_away();
                if let Some(accepted) = accepted {
                    server.take(accepted).await;
                }
            } else if *phase.borrow() == Phase::Closing {
                // Guards what the backlog holds at the close: it counts as taken.
                while let Some(accepted) = acceptor.next_waiting(&listener).await {
                    server.take(accepted).await;
                }
                break;
            } else {
                // Handed over: the listener is another process's, and this one's again should that one end soon.
                ours = false;
                let left = async { tokio::join!(sleep(LINGER), server.budget.clients_closed()) };
                tokio::select! {
                    _ = phase.changed() => {}
                    _ = left => return,
                }
            }
        }
        drop(listener);
        // By then all deadlines have passed and their answers had time to go out. Guards a request that came just
        // before the close: one process may end before SIGKILL only with nothing taken.
        let longest = server.names.borrow().longest;
        if timeout(longest + LAST_WAIT, server.budget.clients_closed()).await.is_err() {
            log::warn!("some connections stayed open to the end");
        }
    }

    async fn take(self: &Arc<Self>, accepted: Accepted) {
        let (server, arrived) = (self.clone(), Instant::now());
        let Accepted { socket, waited } = accepted;
        if let Err(e) = socket.set_nodelay(true) {
            log::debug!("client: {e}");
        }
        let gate = MonitoredStream::new(Socket::new(socket));
        if let Some(seat) = self.budget.client_slots.acquire(&gate.monitor()).await {
            self.counters.accepted.add();
            let waited = waited + arrived.elapsed();
            tokio::spawn(async move { server.serve(gate, seat, None, waited).await });
        } else if let Ok(permit) = self.budget.rejection_slots.clone().try_acquire_owned() {
            tokio::spawn(async move {
                // Past the wait the client has had its time to send and read.
                let _ = timeout(TURN_AWAY_WAIT, server.turn_away(gate)).await;
                drop(permit);
            });
        } else {
            // Guards the descriptors: not even the word that there is no room has room now.
            self.counters.rejected_early.add();
        }
    }

    /// Goes on with a job of another process, which is told whether this one has it.
    pub fn adopt(
        self: &Arc<Self>,
        text: &str,
        [client, worker]: [OwnedFd; 2],
        ids: &mut HashMap<String, Arc<InFlightId>>,
    ) -> bool {
        let names = self.names.borrow().clone();
        let Ok(moving) = serde_json::from_str::<Moving>(text) else { return false };
        // A job of a class that this process does not offer keeps its rules where it is.
        if names.class(&moving.class).is_none()
            || (!names.tenants.is_empty() && names.tenant(&moving.tenant).is_none())
        {
            return false;
        }
        let Ok(socket) = Socket::received(client, moving.request()) else { return false };
        let gate = MonitoredStream::new(socket);
        let Some(seat) = self.budget.client_slots.acquire_transferred(&gate.monitor()) else { return false };
        ids.remove(moving.id());
        let (server, adopted) = (self.clone(), moving.adopted(worker));
        tokio::spawn(async move { server.serve(gate, seat, Some(adopted), Duration::ZERO).await });
        true
    }

    /// Serves a connection to its end. Its first request may be as old as the time that it `waited` to be accepted.
    async fn serve(
        &self,
        gate: MonitoredStream<Socket>,
        seat: Slot,
        adopted: Option<Adopted>,
        waited: Duration,
    ) {
        let (socket_handle, watcher, over) =
            (gate.socket().socket_handle(), gate.monitor(), Arc::new(Notify::new()));
        let moved = Arc::default();
        let client =
            job_handover::Client { socket_handle, watcher: watcher.clone(), over: over.clone(), moved };
        let visit = Visit {
            watcher,
            seat,
            requests: AtomicU64::new(0),
            client,
            adopted: Mutex::new(adopted),
            waited,
        };
        let service = service_fn(|request| {
            let visit = &visit;
            async move { Ok::<_, Infallible>(self.request(request, visit).await) }
        });
        let connection = builder().serve_connection(TokioIo::new(gate), service);
        tokio::pin!(connection);
        let leaves = tokio::select! {
            biased;
            // Before the connection is looked at: it must not take a request in and then go.
            answered = makes_way(&visit) => Some(answered),
            ended = connection.as_mut() => return log_end(ended),
            () = over.notified() => return log::debug!("closed: its client has left, or it has moved"),
            () = self.sent_away(&visit) => None,
        };
        match leaves {
            // It was never told anything.
            Some(false) => return log::debug!("closed: makes way unserved"),
            Some(true) => log::debug!("closed: makes way"),
            None => log::debug!("closed: sent away, {:?}", *self.phase.borrow()),
        }
        connection.as_mut().graceful_shutdown();
        let limit = if leaves.is_some() { LEAVE_WAIT } else { Duration::MAX };
        tokio::select! {
            ended = timeout(limit, connection) => ended.map_or((), log_end),
            () = over.notified() => {}
        }
    }

    /// Returns once the connection is to be closed between requests. One that is yet to bring its first request is
    /// left to bring it, for its client would take a close for a failure; the answer closes it.
    async fn sent_away(&self, visit: &Visit) {
        let mut phase = self.phase.clone();
        while phase.wait_for(|p| p.sends_away()).await.is_ok() && visit.requests.load(Ordering::Relaxed) == 0
        {
            let _ = phase.changed().await; // fails with the process's end only, as the wait above does
        }
    }

    /// What is left of a client's wait, in microseconds, for the connection's newest request.
    fn time_left(&self, stated_us: u64, visit: &Visit, names: &Names) -> u64 {
        // Guards the client's wait, and what workers are told of it: it ran while nothing could be accepted.
        let is_first = visit.requests.load(Ordering::Relaxed) == 1;
        let waited = if is_first { visit.waited } else { Duration::ZERO };
        let left = stated_us.saturating_sub(waited.as_micros() as u64);
        // Guards the answer to a request that was written while the node stops: SIGKILL would cut it off.
        match self.phases.last_moment(names.longest) {
            Some(last) => left.min(last.saturating_duration_since(Instant::now()).as_micros() as u64),
            None => left,
        }
    }

    /// Refuses a request that goes no further.
    fn refuse(&self, reason: &str) -> Reply {
        self.counters.rejected_early.add();
        log::debug!("refused: {reason}");
        refusal(SOON)
    }

    async fn turn_away(&self, socket: MonitoredStream<Socket>) {
        let service = service_fn(|request| async move { Ok::<_, Infallible>(self.no_room(request).await) });
        log_end(builder().keep_alive(false).serve_connection(TokioIo::new(socket), service).await);
    }

    async fn no_room(&self, request: Request<Incoming>) -> Reply {
        // Read so that the close doesn't reset the answer on its way; what is wrong with it is all one here.
        let _ = Limited::new(request.into_body(), BODY_MAX).collect().await;
        self.refuse("no descriptor for its connection")
    }

    async fn request(&self, request: Request<Incoming>, visit: &Visit) -> Reply {
        let framing = visit.watcher.framing(visit.requests.fetch_add(1, Ordering::Relaxed) + 1);
        let reply = match framing {
            // Guards against a request hidden in the body of another: two readers need not agree on its end.
            Framing::Both => {
                Err((StatusCode::BAD_REQUEST, "Content-Length and Transfer-Encoding exclude each other"))
            }
            _ => self.read(request, visit).await,
        };
        let (mut reply, bad) = match reply {
            Ok(reply) => (reply, false),
            Err((status, why)) => {
                self.counters.rejected_early.add();
                log::debug!(status = status.as_u16(); "turned away: {why}");
                let mut reply = plain(status, why);
                if status == StatusCode::METHOD_NOT_ALLOWED {
                    reply.headers_mut().insert(ALLOW, HeaderValue::from_static("POST"));
                }
                (reply, true)
            }
        };
        // Guards descriptors and CPU against who asks wrongly once and stays, or at once again; what follows a
        // chunked body is not followed on the socket; and a node that drains keeps no client.
        if bad || framing != Framing::Length || self.phase.borrow().sends_away() {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        visit.watcher.response_sent();
        visit.seat.rest();
        reply
    }

    async fn read(
        &self,
        request: Request<Incoming>,
        visit: &Visit,
    ) -> Result<Reply, (StatusCode, &'static str)> {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        if path == "/up" && head.method == Method::GET {
            let phase = *self.phase.borrow();
            return Ok(match phase {
                Phase::Serving => plain(StatusCode::OK, "up"),
                Phase::Draining => plain(StatusCode::SERVICE_UNAVAILABLE, "draining"),
                Phase::HandedOver => plain(StatusCode::SERVICE_UNAVAILABLE, "handed over"),
                _ => plain(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
            });
        }
        let names = self.names.borrow().clone();
        let known = |class: &str| names.class(class).is_some();
        let stated = head.headers.get("x-class").map_or(b"".as_slice(), |v| v.as_bytes());
        let strange = std::str::from_utf8(stated).map_or(true, |c| !c.is_empty() && !known(c));
        if !known(&fields::class_in(path)) && !strange {
            return Err((StatusCode::NOT_FOUND, "there is no such path"));
        }
        if head.method != Method::POST {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "jobs come by POST"));
        }
        if body.size_hint().lower() > BODY_MAX as u64 {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "a body holds at most 64 KiB"));
        }
        // Guards memory against many bodies at once: the room for one is taken before it is read.
        let most = body.size_hint().upper().unwrap_or(BODY_MAX as u64).min(BODY_MAX as u64);
        let adopted = visit.adopted.lock().unwrap_or_else(PoisonError::into_inner).take();
        let room = self.budget.body_memory_kib.try_acquire_many(most.div_ceil(1024) as u32);
        // A job that runs is never refused for want of room: the process before gives its own up for it.
        if room.is_err() && adopted.is_none() {
            return Ok(self.refuse("no memory for its body"));
        }
        let mut fields = fields::request(&head.headers, path, head.uri.query().unwrap_or(""), &names)
            .map_err(|why| (StatusCode::BAD_REQUEST, why))?;
        let body = match timeout_at(visit.watcher.message_deadline(), Limited::new(body, BODY_MAX).collect())
            .await
        {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<LengthLimitError>() => {
                return Err((StatusCode::PAYLOAD_TOO_LARGE, "a body holds at most 64 KiB"))
            }
            Ok(Err(_)) => return Err((StatusCode::BAD_REQUEST, "the body is malformed")),
            Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "the body did not come")),
        };
        visit.watcher.request_complete();
        visit.seat.work();
        let target = head.uri.into_parts().path_and_query;
        let target = target.ok_or((StatusCode::NOT_FOUND, "there is no such path"))?;
        let (id, key) = (head.headers.get("x-request-id"), head.headers.get("idempotency-key"));
        let id = id.ok_or((StatusCode::BAD_REQUEST, "X-Request-Id is missing"))?.clone();
        // Guards the first of two: workers would take the second one for it, or for its copy.
        let id = self
            .budget
            .in_flight_ids
            .open(id)
            .ok_or((StatusCode::CONFLICT, "a request with this X-Request-Id is open"))?;
        if adopted.is_none() {
            fields.left_us = self.time_left(fields.left_us, visit, &names);
            if fields.left_us == 0 {
                return Ok(self.refuse("its time is over, or the node's"));
            }
        }
        let (reply, answer) = oneshot::channel();
        let sent = adopted.as_ref().map(|a| a.sent);
        let job = Job {
            id,
            key: key.cloned(),
            target,
            body,
            fields,
            client: Some(visit.client.clone()),
            adopted: Mutex::new(adopted),
            reply,
        };
        let (wire_id, left_us) = (job.id.clone(), fields.left_us);
        let id = match sent {
            Some(sent) => self.handle.adopt(fields, job, sent),
            None => self.handle.accept(fields, job),
        };
        log::debug!(request = id, id:? = wire_id.value, left_us, adopted = sent.is_some(); "taken");
        drop(wire_id); // it is open for as long as the job and its attempts are
        let mut client =
            Client { handle: &self.handle, id, waits: true, socket: &visit.client, counters: &self.counters };
        let answer = tokio::select! {
            biased;
            answer = answer => answer,
            // Guards workers against jobs that nobody waits for. The HTTP library sees a client's leaving only where
            // nothing lies unread behind the request.
            () = visit.client.socket_handle.peer_closed() => {
                visit.client.over.notify_one();
                return std::future::pending().await; // dropped with the connection, which tells the core
            }
        };
        client.waits = false;
        Ok(match answer {
            Ok(Answer::Served(result)) => Response::new(Full::new(result)),
            Ok(Answer::Refused(wait)) => refusal(wait),
            // A core that has ended answers nothing more; nobody knows what became of the job.
            Ok(Answer::Failed) | Err(_) => plain(StatusCode::BAD_GATEWAY, "the job failed"),
        })
    }
}

/// What one connection's requests share.
struct Visit {
    watcher: MessageMonitor,
    seat: Slot,
    requests: AtomicU64,
    client: job_handover::Client,
    /// An attempt of another process, for the first request.
    adopted: Mutex<Option<Adopted>>,
    /// The time for which the first request may have lain in the backlog.
    waited: Duration,
}

/// Returns once the connection is to make way, and says whether it had an answer. Guards a request that has just come and
/// is yet to be read: its client would find the connection closed on it. The next one makes way then.
async fn makes_way(visit: &Visit) -> bool {
    loop {
        let answered = visit.seat.make_way().await;
        if !visit.client.socket_handle.has_unread() {
            return answered;
        }
        visit.seat.pass_on();
    }
}

/// Tells the core when a client goes before its answer: hyper drops the request's future then. The guard of
/// [`Invariant::Answered`]: whatever ends the connection of a request that was taken drops this.
struct Client<'a> {
    handle: &'a Handle<Job>,
    id: RequestId,
    waits: bool,
    socket: &'a job_handover::Client,
    counters: &'a Counters,
}

impl Drop for Client<'_> {
    fn drop(&mut self) {
        if !self.waits {
            return;
        }
        let is_over = self.socket.moved.load(Ordering::Relaxed) || self.socket.socket_handle.is_peer_closed();
        if !is_over {
            self.counters.violations.add(Invariant::Answered, self.id);
        }
        self.handle.left(self.id);
    }
}

fn plain(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *reply.status_mut() = status;
    reply
}

fn refusal(wait: Duration) -> Reply {
    let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, "refused: trying again is harmless");
    if let Some(value) = Some(wait.as_secs_f64()).filter(|s| *s > 0.0) {
        if let Ok(value) = HeaderValue::try_from(format!("{value:.3}")) {
            reply.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    reply
}

fn log_end(ended: hyper::Result<()>) {
    if let Err(e) = ended {
        log::debug!("client: {e}");
    }
}

fn builder() -> http1::Builder {
    let mut builder = http1::Builder::new();
    // The gate keeps the time of heads: the library's own limit would end idle connections too.
    builder.timer(TokioTimer::new()).header_read_timeout(None).max_buf_size(BUFFER);
    builder
}
