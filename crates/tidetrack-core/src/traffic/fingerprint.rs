//! What stays the same when a caller sends a request again.
//!
//! An attempt's id is new each time, so a request is known again by what it asks for: who sent it, to which host
//! name, method and path, and its body. Bodies are chosen by callers, so the hash is one for which nobody finds two
//! of the same value, and the workspace is part of it: no workspace can send a request that is taken for another's.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64;

use crate::errors::{bad_value, Error};
use crate::ids::WorkspaceId;

/// Bytes of the hash that are kept.
const HASH_LEN: usize = 16;

/// Names a caller's request across its repeats and across hosts.
///
/// Written `caller-hash`, both in hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint {
    caller: u32,
    hash: [u8; HASH_LEN],
}

/// A request as far as it is the same each time.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// The workspace, where the request carried a key.
    pub workspace: Option<&'a WorkspaceId>,
    /// The host name that was asked for.
    pub hostname: &'a str,
    /// The method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

impl Fingerprint {
    /// Makes the fingerprint of a request.
    pub fn of(req: &RequestIdentity<'_>) -> Fingerprint {
        let workspace = req.workspace.map_or("", WorkspaceId::as_str);
        let mut hash = Sha256::new();
        for part in [workspace, req.hostname, req.method, req.path] {
            // Lengths keep the end of one part from being taken for the beginning of the next.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part.as_bytes());
        }
        hash.update(req.body);
        let digest = hash.finalize();
        let mut hash = [0; HASH_LEN];
        hash.copy_from_slice(&digest[..HASH_LEN]);
        Fingerprint { caller: xxh3_64(workspace.as_bytes()) as u32, hash }
    }

    /// Gets the beginning of the hash, the same number at every host.
    pub fn hash_prefix(&self) -> u32 {
        let [a, b, c, d, ..] = self.hash;
        u32::from_le_bytes([a, b, c, d])
    }

    /// Gets what stands for the request's caller.
    pub fn caller(&self) -> u32 {
        self.caller
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}-", self.caller)?;
        self.hash.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Fingerprint {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        let invalid = || bad_value("fingerprint", s, "caller-hash in hexadecimal");
        let (caller, hex) = s.split_once('-').ok_or_else(invalid)?;
        let caller = u32::from_str_radix(caller, 16).map_err(|_| invalid())?;
        let number = u128::from_str_radix(hex, 16).map_err(|_| invalid())?;
        match hex.len() == 2 * HASH_LEN {
            true => Ok(Fingerprint { caller, hash: number.to_be_bytes() }),
            false => Err(invalid()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fingerprint_of(workspace: &str, path: &str, body: &str) -> Fingerprint {
        let workspace = workspace.parse().expect("a name");
        Fingerprint::of(&RequestIdentity {
            workspace: Some(&workspace),
            hostname: "shop.example",
            method: "POST",
            path,
            body: body.as_bytes(),
        })
    }

    #[test]
    fn only_the_same_path_caller_and_body_have_the_same_fingerprint() {
        let fingerprint = fingerprint_of("north", "/a", "b");

        assert_eq!(fingerprint, fingerprint_of("north", "/a", "b"));
        let different = [
            fingerprint_of("south", "/a", "b"),
            fingerprint_of("north", "/ab", ""),
            fingerprint_of("north", "/a", "c"),
        ];
        assert!(different.iter().all(|other| *other != fingerprint));
    }

    #[test]
    fn a_fingerprint_parses_from_its_displayed_text() {
        let fingerprint = fingerprint_of("north", "/a", "b");

        assert_eq!(
            fingerprint.to_string().parse::<Fingerprint>().expect("a fingerprint"),
            fingerprint
        );
        assert!("1-22".parse::<Fingerprint>().is_err());
    }
}
