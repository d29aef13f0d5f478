//! The management interface for operators, and the phase changes that its calls and signals cause.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{run_paused, seeded_quickcheck, stop_until_closing};
use molevale::management::{Management, MAX_CONNECTIONS};
use molevale::phase::{Phase, Phases};
use quickcheck::{Arbitrary, Gen};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{advance, Instant};

async fn start_management() -> (SocketAddr, Phases, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    let (phases, (ready, follow)) = (Phases::default(), watch::channel(false));
    tokio::spawn(
        Management { phases: phases.clone(), ready: follow, membership: None, coordination: None }
            .serve(listener),
    );
    (at, phases, ready)
}

/// Makes one call on a new connection, which must end with the answer; returns the status.
async fn call(at: SocketAddr, method: &str, path: &str) -> u16 {
    let mut socket = TcpStream::connect(at).await.unwrap();
    let text = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    socket.write_all(text.as_bytes()).await.unwrap();
    let mut answer = String::new();
    socket.read_to_string(&mut answer).await.unwrap();
    answer.split(' ').nth(1).expect(&answer).parse().unwrap()
}

#[tokio::test(start_paused = true)]
async fn calls_report_and_change_the_phase_and_unknown_ones_are_rejected() {
    let _frozen_clock = common::freeze_clock();
    let (at, phases, ready) = start_management().await;
    assert_eq!(call(at, "GET", "/healthcheck").await, 503, "not ready to serve yet");
    ready.send_replace(true);
    assert_eq!(call(at, "GET", "/healthcheck").await, 200);
    let phase = phases.subscribe();
    for (path, want) in [("fail", Phase::Draining), ("fail", Phase::Draining), ("ok", Phase::Serving)] {
        assert_eq!(call(at, "POST", &format!("/healthcheck/{path}")).await, 200);
        assert_eq!(*phase.borrow(), want);
    }
    for (method, path, status) in [
        ("GET", "/", 404),
        ("GET", "/healthcheck/", 404),
        ("POST", "/check", 404),
        ("POST", "/healthcheck", 405),
        ("GET", "/healthcheck/fail", 405),
        ("DELETE", "/healthcheck/ok", 405),
    ] {
        assert_eq!(call(at, method, path).await, status, "{method} {path}");
    }
    assert_eq!(*phase.borrow(), Phase::Serving);
    call(at, "POST", "/healthcheck/fail").await;
    stop_until_closing(&phases).await;
    assert_eq!(call(at, "POST", "/healthcheck/fail").await, 200);
    assert_eq!(call(at, "POST", "/healthcheck/ok").await, 503, "a closing process does not resume");
    assert_eq!(*phase.borrow(), Phase::Closing);
}

/// Guards against callers that connect and never complete a call: they delay no other call, and are
/// disconnected.
#[tokio::test(start_paused = true)]
async fn silent_callers_delay_no_other_call_and_are_closed() {
    let _frozen_clock = common::freeze_clock();
    let (at, _phases, ready) = start_management().await;
    ready.send_replace(true);
    let mut silent = Vec::new();
    for n in 0..2 * MAX_CONNECTIONS {
        let mut socket = TcpStream::connect(at).await.unwrap();
        let part = &b"GET /healthcheck HTTP/1.1\r\nHost"[..n % 20];
        socket.write_all(part).await.unwrap();
        silent.push(socket);
    }
    assert_eq!(call(at, "GET", "/healthcheck").await, 200, "no time has passed");
    for (n, mut socket) in silent.into_iter().enumerate() {
        if n == MAX_CONNECTIONS {
            // The earlier ones were evicted, these have reached the timeout.
            advance(Duration::from_secs(2)).await;
        }
        let _ = socket.read_to_end(&mut Vec::new()).await; // a reset also counts as closed
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Drain,
    Resume,
    Stop,
    HandOver,
    UndoHandOver,
    Wait(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 10 {
            0..=2 => Step::Drain,
            3..=4 => Step::Resume,
            5 => Step::Stop,
            6 => Step::HandOver,
            7 => Step::UndoHandOver,
            _ => Step::Wait(u8::arbitrary(g)),
        }
    }
}

async fn run_steps(steps: Vec<Step>) {
    let phases = Phases::default();
    let (mut draining, mut handed_over, mut previous, mut stopped) = (false, false, None, None::<Instant>);
    for step in steps {
        let is_closing = stopped.is_some_and(|at| at.elapsed().as_millis() >= 720);
        match step {
            Step::Drain => {
                assert!(phases.drain());
                draining |= !handed_over;
            }
            Step::Resume => {
                assert_eq!(phases.resume(), stopped.is_none() && !handed_over);
                draining &= handed_over;
            }
            Step::Stop => {
                // A process that has handed over accepts nothing more, so it closes at once.
                tokio::spawn({
                    let phases = phases.clone();
                    async move { phases.stop().await }
                });
                tokio::task::yield_now().await;
                let now = Instant::now();
                stopped =
                    if handed_over { Some(now - Duration::from_secs(1)) } else { stopped.or(Some(now)) };
            }
            Step::HandOver if previous.is_none() => {
                (previous, handed_over) = (Some(phases.hand_over()), !is_closing);
            }
            Step::HandOver => {}
            Step::UndoHandOver => {
                previous.take().into_iter().for_each(|phase| phases.undo_hand_over(phase));
                handed_over = false;
            }
            Step::Wait(n) => tokio::time::sleep(Duration::from_millis(u64::from(n) * 4)).await,
        }
        let (phase, elapsed) = (*phases.subscribe().borrow(), stopped.map(|at| at.elapsed().as_millis()));
        if elapsed > Some(722) {
            handed_over = false; // a closing process does not resume; a timer may be a little late
        }
        assert!(phase == Phase::Closing || elapsed <= Some(722));
        assert_eq!(phase.is_serving(), !draining && !handed_over && elapsed.is_none());
        assert_eq!(
            phase.accepts_connections(),
            !handed_over && elapsed.is_none_or(|elapsed| elapsed < 720),
            "{phase:?} {elapsed:?}"
        );
        assert_eq!(phase.closes_connections(), !phase.accepts_connections() || elapsed.is_none() && draining);
    }
}

#[test]
fn a_stopping_process_never_serves_again_after_random_calls_and_signals() {
    fn property(steps: Vec<Step>) -> bool {
        run_paused(run_steps(steps))
    }
    seeded_quickcheck(100, 30).quickcheck(property as fn(Vec<Step>) -> bool);
}
