//! A node with a request in flight, which may be taken over.

use super::{request, Client, PlatformNode, ReceivedRequest, Worker};
use molevale::process_handover::{Predecessor, PredecessorLookup};
use serde_json::{json, Value};
use std::path::PathBuf;
use tokio::net::TcpListener;
use tokio::task::yield_now;

/// A node with a request in flight at one worker while another is free.
pub struct HandoverSetup {
    pub path: PathBuf,
    pub old: PlatformNode,
    pub client: Client,
    pub received: ReceivedRequest,
    pub workers: [Worker; 2],
}

impl HandoverSetup {
    /// Starts the node, has it serve this many requests, and sends this one.
    pub async fn start(name: &str, settings: Value, served_before: u64, text: &str) -> HandoverSetup {
        let path = std::env::temp_dir().join(format!("molevale-{}-{name}", std::process::id()));
        let workers = [Worker::start().await, Worker::start().await];
        let known = [workers[0].list_entry("s-1", "in_service"), workers[1].list_entry("s-2", "in_service")];
        let parts = json!({"settings": settings, "known": known});
        let old =
            PlatformNode::start_with_config_and_handover(parts, Some(path.clone()), 256, 32, None).await;
        while !path.exists() {
            yield_now().await;
        }
        let mut client = Client::connect(&old).await;
        for n in 0..served_before {
            client.send_after_pause(&request("check", &format!("served-{n}"), 5.0, "")).await;
            receive_request(&workers).await.complete("r").await;
            assert_eq!(client.read_answer().await.unwrap().status, 200);
        }
        client.send_after_pause(text).await;
        let received = receive_request(&workers).await;
        HandoverSetup { path, old, client, received, workers }
    }

    /// Looks up the serving process, as its successor does.
    pub async fn find_predecessor(&self) -> (TcpListener, Predecessor) {
        match Predecessor::look_up(&self.path).await {
            PredecessorLookup::Serving(listener, predecessor) => (listener, predecessor),
            _ => panic!("no predecessor is serving"),
        }
    }
}

/// The next request at either worker, on a new connection.
async fn receive_request(workers: &[Worker; 2]) -> ReceivedRequest {
    tokio::select! {
        received = workers[0].receive_request() => received,
        received = workers[1].receive_request() => received,
    }
}

/// Yields until events of sockets have been processed.
pub async fn settle() {
    for _ in 0..200 {
        yield_now().await;
    }
}
