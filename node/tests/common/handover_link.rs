//! Stand-ins for either process in a handover: their ends of the link to a node.

use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde_json::Value;
use std::io::{IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::path::Path;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, UnixListener, UnixStream};

/// One end of the link, on which a byte with descriptors or a line is received.
pub struct HandoverLink(UnixStream);

impl HandoverLink {
    /// Takes over from the node at this path, up to this message, which asks for its running requests.
    pub async fn take_over(path: &Path, ready: &str) -> HandoverLink {
        let mut link = HandoverLink(UnixStream::connect(path).await.unwrap());
        assert_eq!(link.receive_descriptors().await.len(), 1, "the listener");
        link.read_line().await;
        link.send_text("serving\n").await;
        link.read_line().await;
        link.send_text(&format!("{ready}\n")).await;
        link
    }

    /// Hands this listener and state over to the node that connects to this socket, with a report of held resources; up
    /// to the node's last message, which asks for running requests.
    pub async fn hand_over(
        socket: &UnixListener,
        listener: &TcpListener,
        state: &Value,
        held: &Value,
    ) -> HandoverLink {
        let mut link = HandoverLink(socket.accept().await.unwrap().0);
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        let descriptors = [listener.as_fd()];
        control.push(SendAncillaryMessage::ScmRights(&descriptors));
        sendmsg(&link.0, &[IoSlice::new(b"D")], &mut control, SendFlags::empty()).unwrap();
        link.send_text(&format!("{state}\n")).await;
        assert_eq!(link.read_line().await, "serving\n");
        link.send_text(&format!("{held}\n")).await;
        assert_eq!(link.read_line().await, "ready claims\n");
        link
    }

    /// Receives one byte and the descriptors that are attached to it.
    pub async fn receive_descriptors(&self) -> Vec<OwnedFd> {
        let receive = || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(3))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut byte = [0];
            let mut parts = [IoSliceMut::new(&mut byte)];
            recvmsg(&self.0, &mut parts, &mut control, RecvFlags::CMSG_CLOEXEC)?;
            let descriptors = control.drain().filter_map(|message| match message {
                RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
                _ => None,
            });
            Ok(descriptors.flatten().collect())
        };
        self.0.async_io(Interest::READABLE, receive).await.unwrap()
    }

    /// Receives a line.
    pub async fn read_line(&mut self) -> String {
        let mut line = Vec::new();
        while line.last() != Some(&b'\n') {
            line.push(self.0.read_u8().await.unwrap());
        }
        String::from_utf8(line).unwrap()
    }

    /// Sends this.
    pub async fn send_text(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.unwrap();
    }

    /// Receives an offer: its record, and its descriptors, of the client, the worker and the claim.
    pub async fn receive_offer(&mut self) -> (String, [OwnedFd; 3]) {
        let descriptors = self.receive_descriptors().await;
        let record = self.read_line().await;
        (record, descriptors.try_into().expect("two sockets and a claim"))
    }
}
