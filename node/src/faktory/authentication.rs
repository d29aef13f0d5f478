//! Password authentication: the challenge in the greeting, and the hash that answers it.

use super::command::{Hello, ID_MAX};
use super::reply::Reply;
use serde_json::json;
use sha2::{Digest, Sha256};
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};

/// Version of the protocol that the server speaks.
const PROTOCOL_VERSION: u32 = 2;
/// Iterations of the password hash.
const HASH_ITERATIONS: u32 = 4000;

/// Authentication challenge of one session, on a server that has a password.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Challenge {
    /// Salt, different for each session.
    pub salt: String,
    /// Iterations of the hash.
    pub iterations: u32,
}

impl Challenge {
    /// Generates a challenge with a random salt.
    pub fn generate() -> Challenge {
        // `RandomState::new` has a different random key each time.
        let salt = format!("{:016x}", RandomState::new().build_hasher().finish());
        Challenge { salt, iterations: HASH_ITERATIONS }
    }

    /// Hash that a client with this password returns.
    pub fn expected_hash(&self, password: &str) -> String {
        password_hash(password, &self.salt, self.iterations)
    }
}

/// Why a handshake is rejected.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum HandshakeError {
    /// The peer speaks another version of the protocol.
    #[error("this server speaks version 2")]
    UnsupportedVersion,
    /// The password is wrong or missing.
    #[error("invalid password")]
    InvalidPassword,
    /// The worker id is empty or too long.
    #[error("a wid has 1 to 256 characters")]
    InvalidWorkerId,
}

/// Greeting that the server sends at the start of a session.
pub fn greeting(challenge: Option<&Challenge>) -> Reply {
    let fields = match challenge {
        Some(Challenge { salt, iterations }) => json!({"v": PROTOCOL_VERSION, "s": salt, "i": iterations}),
        None => json!({"v": PROTOCOL_VERSION}),
    };
    Reply::Simple(format!("HI {fields}"))
}

/// Validates a handshake and, on a server that has a password, the client's hash.
///
/// # Errors
///
/// Returns the first reason for which the handshake is rejected.
pub fn check_handshake(
    hello: &Hello,
    challenge: Option<&Challenge>,
    password: Option<&str>,
) -> Result<(), HandshakeError> {
    if hello.version != PROTOCOL_VERSION {
        return Err(HandshakeError::UnsupportedVersion);
    }
    if let (Some(challenge), Some(password)) = (challenge, password) {
        let received = hello.password_hash.as_deref().unwrap_or_default();
        if !equal_in_constant_time(&challenge.expected_hash(password), received) {
            return Err(HandshakeError::InvalidPassword);
        }
    }
    let is_valid = |id: &String| (1..=ID_MAX).contains(&id.len());
    if !hello.worker_id.as_ref().is_none_or(is_valid) {
        return Err(HandshakeError::InvalidWorkerId);
    }
    Ok(())
}

/// Compares two strings in a time that does not depend on where they differ.
fn equal_in_constant_time(a: &str, b: &str) -> bool {
    let difference = a.bytes().zip(b.bytes()).fold(0, |difference, (x, y)| difference | (x ^ y));
    difference == 0 && a.len() == b.len()
}

/// Hash of a password: SHA-256 of password and salt, applied `iterations` times.
pub fn password_hash(password: &str, salt: &str, iterations: u32) -> String {
    let mut hash = Sha256::digest(format!("{password}{salt}"));
    for _ in 1..iterations {
        hash = Sha256::digest(hash);
    }
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}
