//! Hash function for names.

/// Hashes a name with 64-bit FNV-1a. Part of the wire format, so it is the same in every version.
pub fn name_hash(name: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    name.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}
