//! Session of one connection: handshake, then commands, answered in order.

use super::authentication::{check_handshake, greeting, Challenge, HandshakeError};
use super::codec::{Line, SessionCodec};
use super::command::{Beat, Command, Hello, Push, WorkerCommand};
use super::leases::{
    Delivery, JobState, PushError, PushOutcome, SessionNumber, TrackedJob, HEARTBEAT_TIMEOUT,
};
use super::reply::Reply;
use super::server::SharedState;
use crate::dispatcher::Answer;
use bytes::{Bytes, BytesMut};
use dispatch_policy::api::Outcome;
use futures_util::{SinkExt, StreamExt};
use serde_json::json;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::sync::oneshot;
use tokio::time::{sleep, sleep_until, timeout, Instant};
use tokio_util::codec::Framed;

/// Time limit for `HELLO`.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a `FETCH` waits for a job; the same as in Faktory.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which an idle session checks for a heartbeat timeout of its worker.
const HEARTBEAT_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Time limit for writing a reply, so that a peer that does not read can't keep its session open.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Capacity that an empty buffer keeps, in bytes.
const KEPT_BUFFER_BYTES: usize = 8 * 1024;
/// Time after a reply within which a reset shows that the peer's socket was closed before the reply reached it.
const RESET_TIMEOUT: Duration = Duration::from_millis(20);

/// Error value: the session has ended.
struct SessionEnded;

type Result<T> = std::result::Result<T, SessionEnded>;

struct Session<S> {
    shared: Arc<SharedState>,
    number: SessionNumber,
    framed: Framed<S, SessionCodec>,
    /// Id of the worker; `None` for a client.
    worker_id: Option<String>,
    /// Line that was received while a `FETCH` waited.
    read_ahead: Option<io::Result<Line>>,
}

/// Serves one connection until it ends. The end of a worker's last session ends its leases.
pub(super) async fn serve<S: AsyncRead + AsyncWrite + Unpin>(shared: Arc<SharedState>, socket: S) {
    let framed = Framed::new(socket, SessionCodec::default());
    let number = shared.number_session();
    let mut session = Session { shared: shared.clone(), number, framed, worker_id: None, read_ahead: None };
    let SessionEnded = session.run().await;
    if let Some(worker_id) = session.worker_id {
        shared.leases().session_closed(&worker_id);
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> Session<S> {
    async fn run(&mut self) -> SessionEnded {
        if let Err(ended) = self.exchange_handshake().await {
            return ended;
        }
        loop {
            if let Err(ended) = self.serve_command().await {
                return ended;
            }
        }
    }

    /// Reads a command, executes it and sends the reply.
    async fn serve_command(&mut self) -> Result<()> {
        self.shrink_buffers();
        let command = match self.read_line().await?.and_then(|line| Command::parse(&line)) {
            Ok(command) => command,
            Err(error) => return self.send(error.into()).await,
        };
        let reply = match command {
            Command::End => return Err(SessionEnded),
            Command::Worker(WorkerCommand::Fetch(queues)) if self.worker_id.is_some() => {
                return self.fetch(&queues).await;
            }
            Command::Worker(command) => self.run_worker_command(command),
            Command::Push(job, payload) => self.push(job, payload).await?,
            Command::TrackGet(jid) => return self.track(&jid).await,
            Command::Info => Reply::Bulk(Bytes::from(self.shared.info_json())),
            Command::Hello(_) => Reply::error("HELLO comes once"),
        };
        self.send(reply).await
    }

    /// Sends the state of a job. Its final answer counts as read once the client can't have missed the reply.
    async fn track(&mut self, jid: &str) -> Result<()> {
        let tracked = self.shared.leases().track(jid);
        let Some(TrackedJob { number, state }) = tracked else {
            return self.send(Reply::error("this job is unknown")).await;
        };
        self.send(Reply::Bulk(Bytes::from(encode_state(jid, &state)))).await?;
        if matches!(state, JobState::Ended(_)) {
            self.confirm_receipt().await?;
            self.shared.leases().answer_read(number, jid);
        }
        Ok(())
    }

    /// Waits until the peer sends the next command, or [`RESET_TIMEOUT`] has passed since the last reply without a reset
    /// of the connection. A peer that closed its socket before it read the reply resets the connection.
    async fn confirm_receipt(&mut self) -> Result<()> {
        let written_at = Instant::now();
        match timeout(RESET_TIMEOUT, self.framed.next()).await {
            Ok(Some(Err(_))) => return Err(SessionEnded),
            Ok(Some(line)) => {
                self.read_ahead = Some(line);
                return Ok(());
            }
            Ok(None) => sleep_until(written_at + RESET_TIMEOUT).await, // the reset may follow the end of the stream
            Err(_) => {}
        }
        // An empty write sends nothing. It fails if the connection was reset.
        match timeout(WRITE_TIMEOUT, self.framed.get_mut().write(&[])).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(SessionEnded),
        }
    }

    /// Gives up the capacity of empty buffers that a long line or reply has left.
    fn shrink_buffers(&mut self) {
        shrink(self.framed.read_buffer_mut());
        shrink(self.framed.write_buffer_mut());
    }

    /// Reads the next line. Ends the session if the connection ends or the worker's heartbeat times out.
    async fn read_line(&mut self) -> Result<Line> {
        let next = match self.read_ahead.take() {
            Some(line) => Some(line),
            None => loop {
                tokio::select! {
                    biased;
                    line = self.framed.next() => break line,
                    () = sleep(HEARTBEAT_CHECK_INTERVAL) => self.check_heartbeat()?,
                }
            },
        };
        match next {
            Some(Ok(line)) => Ok(line),
            Some(Err(_)) | None => Err(SessionEnded),
        }
    }

    fn check_heartbeat(&self) -> Result<()> {
        let Some(worker_id) = &self.worker_id else { return Ok(()) };
        if !self.shared.leases().has_timed_out(worker_id) {
            return Ok(());
        }
        log::warn!(event = "faktory_worker_silent", worker = worker_id, timeout_s = HEARTBEAT_TIMEOUT.as_secs();
            "Faktory worker sent no command within the heartbeat timeout; closing the session");
        Err(SessionEnded)
    }

    async fn send(&mut self, reply: Reply) -> Result<()> {
        let _reply = self.shared.begin_reply();
        match timeout(WRITE_TIMEOUT, self.framed.send(reply)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(SessionEnded),
        }
    }

    /// Sends the greeting and checks the peer's `HELLO`.
    async fn exchange_handshake(&mut self) -> Result<()> {
        let challenge = self.shared.challenge();
        self.send(greeting(challenge.as_ref())).await?;
        let line = timeout(HELLO_TIMEOUT, self.read_line()).await.unwrap_or(Err(SessionEnded))?;
        let rejection = match line.and_then(|line| Command::parse(&line)) {
            Ok(Command::Hello(hello)) => match self.accept_handshake(hello, challenge.as_ref()) {
                Ok(()) => return self.send(Reply::Ok).await,
                Err(error) => Reply::error(error),
            },
            Ok(_) => Reply::error("HELLO comes first"),
            Err(error) => error.into(),
        };
        self.send(rejection).await?;
        Err(SessionEnded)
    }

    /// Validates the handshake and, for a worker, registers the session.
    fn accept_handshake(
        &mut self,
        hello: Hello,
        challenge: Option<&Challenge>,
    ) -> std::result::Result<(), HandshakeError> {
        check_handshake(&hello, challenge, self.shared.password())?;
        if let Some(worker_id) = hello.worker_id {
            self.shared.leases().session_opened(&worker_id);
            self.worker_id = Some(worker_id);
        }
        Ok(())
    }

    /// Submits a job and waits until the push is accepted or rejected.
    async fn push(&self, job: Push, payload: Bytes) -> Result<Reply> {
        let intake = self.shared.intake();
        let pushed = self.shared.leases().push(self.number, job, payload, intake);
        let outcome = match pushed {
            Ok(outcome) => outcome,
            Err(error @ PushError::ShuttingDown) => return Ok(Reply::Error("SHUTDOWN", error.to_string())),
            Err(error) => {
                self.shared.counters().rejected_early.add();
                return Ok(Reply::error(error));
            }
        };
        match outcome.await {
            Ok(PushOutcome::Accepted) => Ok(Reply::Ok),
            Ok(PushOutcome::Rejected(retry_after)) => {
                Ok(Reply::error(format!("refused: try again in {:.3} s", retry_after.as_secs_f64())))
            }
            // The dispatcher has ended: no outcome follows.
            Err(_) => Err(SessionEnded),
        }
    }

    /// Executes a worker's command other than `FETCH`.
    fn run_worker_command(&self, command: WorkerCommand) -> Reply {
        let Some(worker_id) = &self.worker_id else {
            return Reply::error("only a worker, whose HELLO names its wid, may say this");
        };
        match command {
            WorkerCommand::Fetch(_) => Reply::Nil, // handled by `fetch`
            WorkerCommand::Ack(jid) => self.finish(worker_id, &jid, Outcome::Success),
            WorkerCommand::Fail(jid) => self.finish(worker_id, &jid, Outcome::Error),
            WorkerCommand::Beat(beat) => self.record_heartbeat(worker_id, &beat),
        }
    }

    fn finish(&self, worker_id: &str, jid: &str, outcome: Outcome) -> Reply {
        match self.shared.leases().finish(worker_id, jid, outcome) {
            Ok(()) => Reply::Ok,
            Err(error) => Reply::error(error),
        }
    }

    fn record_heartbeat(&self, worker_id: &str, beat: &Beat) -> Reply {
        if beat.worker_id != worker_id {
            return Reply::error("this is another worker's wid");
        }
        match self.shared.leases().heartbeat(worker_id, beat.is_stopping()) {
            Ok(true) => Reply::Bulk(Bytes::from_static(b"{\"state\":\"quiet\"}")),
            Ok(false) => Reply::Ok,
            Err(error) => Reply::error(error),
        }
    }

    /// Waits for a job and sends it. A connection that ends during the wait gets no job.
    async fn fetch(&mut self, queues: &[String]) -> Result<()> {
        let worker_id = self.worker_id.clone().unwrap_or_default();
        let (number, mut receiver) = self.shared.leases().fetch(&worker_id, queues);
        let delivery = tokio::select! {
            biased;
            delivery = &mut receiver => delivery.ok(),
            () = sleep(FETCH_TIMEOUT) => None,
            line = self.framed.next(), if self.read_ahead.is_none() => {
                let Some(line) = line else {
                    self.withdraw_fetch(&worker_id, number, &mut receiver);
                    return Err(SessionEnded);
                };
                // A pipelined command is handled after the reply to this FETCH.
                self.read_ahead = Some(line);
                timeout(FETCH_TIMEOUT, &mut receiver).await.ok().and_then(|delivery| delivery.ok())
            }
        };
        let delivery = delivery.or_else(|| self.end_fetch(&worker_id, number, &mut receiver));
        let Some(delivery) = delivery else { return self.send(Reply::Nil).await };
        let sent = self.send(Reply::Bulk(delivery.payload.clone())).await;
        if sent.is_err() {
            // Part of the reply may have been sent, so the worker may execute the job.
            self.shared.leases().delivery_failed(&delivery, false);
        }
        sent
    }

    /// Ends a `FETCH` that has timed out. Returns a job that was assigned to it concurrently, if any.
    fn end_fetch(
        &self,
        worker_id: &str,
        number: u64,
        receiver: &mut oneshot::Receiver<Delivery>,
    ) -> Option<Delivery> {
        self.shared.leases().cancel_fetch(worker_id, number);
        receiver.try_recv().ok()
    }

    /// Ends the `FETCH` of a closed connection. A job that was assigned to it concurrently is returned as not sent.
    fn withdraw_fetch(&self, worker_id: &str, number: u64, receiver: &mut oneshot::Receiver<Delivery>) {
        let mut leases = self.shared.leases();
        leases.cancel_fetch(worker_id, number);
        if let Ok(delivery) = receiver.try_recv() {
            leases.delivery_failed(&delivery, true);
        }
    }
}

fn shrink(buffer: &mut BytesMut) {
    if buffer.is_empty() && buffer.capacity() > KEPT_BUFFER_BYTES {
        *buffer = BytesMut::new();
    }
}

/// Encodes the state of a job as JSON.
fn encode_state(jid: &str, state: &JobState) -> String {
    let fields = match state {
        JobState::Enqueued => json!({"jid": jid, "state": "enqueued"}),
        JobState::Working => json!({"jid": jid, "state": "working"}),
        JobState::Ended(Answer::Served(_)) => json!({"jid": jid, "state": "success", "answer": "served"}),
        JobState::Ended(Answer::Failed) => json!({"jid": jid, "state": "failed", "answer": "failed"}),
        JobState::Ended(Answer::Shed(retry_after)) => {
            let retry_after = retry_after.as_secs_f64();
            json!({"jid": jid, "state": "failed", "answer": "refused", "retry_after": retry_after})
        }
    };
    fields.to_string()
}
