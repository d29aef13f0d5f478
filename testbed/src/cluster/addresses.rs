//! Blocks of loopback addresses, each used by one cluster at a time.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Port that is bound while a block is in use, so that no two clusters share a block.
const LOCK_PORT: u16 = 7900;
/// Host number at which it is bound.
const LOCK_HOST: usize = 253;
/// Maximum number of blocks to try.
const BLOCKS_TRIED: u32 = 512;
/// Second byte of the first block's addresses.
const FIRST_NETWORK: u8 = 64;
/// Number of values of the second byte that blocks use.
const NETWORKS: u8 = 128;

/// Block of loopback addresses used by one cluster: 127.x.y.0/24.
#[derive(Clone, Copy, Debug)]
pub struct Block([u8; 2]);

impl Block {
    /// Returns the address of a host of the block; hosts are numbered from 0.
    pub fn address(self, host: usize, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.0[0], self.0[1], host as u8 + 1), port))
    }
}

/// Finds a free block, starting at this number; it is reserved until the listener is dropped.
///
/// # Errors
/// If no block is free.
pub fn free_block(first_number: u32) -> io::Result<(Block, TcpListener)> {
    let mut last_error = io::Error::from(io::ErrorKind::AddrInUse);
    for number in (0..BLOCKS_TRIED).map(|i| first_number.wrapping_add(i)) {
        let block = Block([FIRST_NETWORK + (number >> 8) as u8 % NETWORKS, number as u8]);
        match TcpListener::bind(block.address(LOCK_HOST, LOCK_PORT)) {
            Ok(lock) => return Ok((block, lock)),
            Err(e) => last_error = e,
        }
    }
    Err(last_error)
}
