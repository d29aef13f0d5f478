//! Counts of a TCP socket that the kernel keeps for all processes that hold it (`TCP_INFO`, Linux).
//!
//! This crate exists for its one unsafe call, so that the node can forbid unsafe code.

use std::io;
use std::mem::size_of;
use std::os::fd::{AsFd, AsRawFd};

/// Returns the number of bytes that were ever written to a TCP socket, by any process: those that the kernel has sent,
/// each counted once however often it was retransmitted, and those that it still holds back.
///
/// # Errors
/// The operating system's if the descriptor is no TCP socket, and [`io::ErrorKind::Unsupported`] if the kernel does not
/// report these counts (before Linux 4.19).
pub fn bytes_written(socket: impl AsFd) -> io::Result<u64> {
    // SAFETY: all fields are integers, for which zero is a valid value.
    let mut info: libc::tcp_info = unsafe { std::mem::zeroed() };
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the kernel writes at most `length` bytes to `info`, which is that long and lives until the call returns.
    let result = unsafe {
        libc::getsockopt(
            socket.as_fd().as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut info).cast(),
            &raw mut length,
        )
    };
    if result != 0 {
        return Err(io::Error::last_os_error());
    }
    let end_of_counts = std::mem::offset_of!(libc::tcp_info, tcpi_bytes_retrans) + size_of::<u64>();
    if (length as usize) < end_of_counts {
        return Err(io::ErrorKind::Unsupported.into());
    }
    let sent_once = info.tcpi_bytes_sent.saturating_sub(info.tcpi_bytes_retrans);
    Ok(sent_once + u64::from(info.tcpi_notsent_bytes))
}
