//! Encoding of actions as records of the simulator's protocol.

use super::frame::Reply;
use dispatch_policy::api::{Action, Notice, WorkerId};

/// Appends an instance's action to the reply. Notices of requests that are given up are omitted: there is one
/// for each such request, more than a report can hold.
pub fn action(reply: &mut Reply, instance: u32, action: &Action) {
    match action {
        Action::Send { id, worker } => {
            reply.push_action(0, instance, &[&saturating_u32(*id), &worker_field(*worker), &[0; 4]]);
        }
        Action::Reject { id, retry_after_us } => {
            reply.push_action(1, instance, &[&saturating_u32(*id), &saturating_u32(*retry_after_us)]);
        }
        Action::Fail { id } => reply.push_action(2, instance, &[&saturating_u32(*id)]),
        Action::Cancel { id, attempt } => {
            reply.push_action(3, instance, &[&saturating_u32(*id), &(*attempt as u16).to_be_bytes()]);
        }
        Action::SetTimer { after_us } => {
            reply.push_action(4, instance, &[&saturating_u32(*after_us), &0u64.to_be_bytes()]);
        }
        Action::Probe { worker } => reply.push_action(5, instance, &[&worker_field(*worker)]),
        Action::CloseIdleConnections { worker } => reply.push_action(6, instance, &[&worker_field(*worker)]),
        Action::SendPeerMessage { to, bytes } => {
            let tail_field = reply.push_tail(bytes);
            reply.push_action(7, instance, &[&to.to_be_bytes(), &tail_field]);
        }
        Action::Notify(Notice::RequestGivenUp { .. }) => {}
        Action::Notify(notice) => {
            let tail_field = reply.push_tail(notice_text(notice).as_bytes());
            reply.push_action(8, instance, &[&tail_field]);
        }
        Action::WatchEndpoints => reply.push_action(10, instance, &[&[1]]),
    }
}

fn saturating_u32(value: u64) -> [u8; 4] {
    (value.min(u64::from(u32::MAX)) as u32).to_be_bytes()
}

fn worker_field(worker: WorkerId) -> [u8; 6] {
    let [_, _, field @ ..] = worker.0.to_be_bytes();
    field
}

/// Formats a worker's address and port.
fn address(worker: WorkerId) -> String {
    let [a, b, c, d, high, low] = worker_field(worker);
    format!("{a}.{b}.{c}.{d}:{}", u16::from_be_bytes([high, low]))
}

fn notice_text(notice: &Notice) -> String {
    match notice {
        Notice::WorkerUnresponsive { worker } => {
            format!("worker {} is silent: no new jobs but a trickle", address(*worker))
        }
        Notice::WorkerFailing { worker } => {
            format!("worker {} fails jobs: no new jobs but a trickle", address(*worker))
        }
        Notice::WorkerRecovered { worker } => format!("worker {} is trusted again", address(*worker)),
        Notice::Throttling { admitted_per_s, offered_per_s } => {
            format!("throttling: {admitted_per_s:.1} jobs/s admitted of {offered_per_s:.1} offered")
        }
        Notice::RequestGivenUp { request, reason } => format!("request {request} is given up: {reason:?}"),
        Notice::EndpointListUnavailable => "worker list not to be had: asking again".to_string(),
    }
}
