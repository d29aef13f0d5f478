//! Claim on an offered request: a token in the kernel that one of two processes can take.

use super::ownership::ClaimResult;
use rustix::event::{eventfd, EventfdFlags};
use rustix::io::Errno;
use std::io;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};

/// Token that is passed to the other process with a request. Only one of all holders takes it, whatever the order in
/// which they try and however long either is stalled.
pub struct Claim(OwnedFd);

impl Claim {
    /// Creates a claim that nobody has taken.
    ///
    /// # Errors
    /// The operating system's, for instance without a free descriptor.
    pub fn new() -> io::Result<Claim> {
        Ok(Claim(eventfd(1, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?))
    }

    /// Wraps a claim that another process has passed on.
    pub fn received(descriptor: OwnedFd) -> Claim {
        Claim(descriptor)
    }

    /// Takes the claim, if nobody has taken it yet.
    pub fn take(&self) -> ClaimResult {
        // A read returns the counter and sets it to zero; of a counter that is zero it fails.
        let mut counter = [0; size_of::<u64>()];
        loop {
            match rustix::io::read(&self.0, &mut counter) {
                Ok(_) => return ClaimResult::Taken,
                Err(Errno::INTR) => {}
                Err(_) => return ClaimResult::Lost,
            }
        }
    }
}

impl AsFd for Claim {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}
