//! Fingerprint that identifies a request when its caller sends it again.
//!
//! Attempt ids are new for each try, so a request is recognized by its contents: workspace, host
//! name, method, path and body. Callers choose the bodies, so the hash must be collision-resistant.
//! It includes the workspace, so that no workspace can send a request that is taken for one of
//! another workspace.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64;

use crate::errors::{bad_value, Error};
use crate::ids::WorkspaceId;

/// Number of hash bytes that are kept.
const HASH_LEN: usize = 16;

/// Identifies a caller's request across repeated sends and across hosts.
///
/// The text form is `caller-hash`, both parts in hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint {
    caller: u32,
    hash: [u8; HASH_LEN],
}

/// Parts of a request that stay the same when it is sent again.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Workspace of the request's API key; `None` if it had no key.
    pub workspace: Option<&'a WorkspaceId>,
    /// Host name that the request was sent to.
    pub hostname: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Complete body.
    pub body: &'a [u8],
}

impl Fingerprint {
    /// Calculates the fingerprint of a request.
    pub fn of(req: &RequestIdentity<'_>) -> Fingerprint {
        let workspace = req.workspace.map_or("", WorkspaceId::as_str);
        let mut hash = Sha256::new();
        for part in [workspace, req.hostname, req.method, req.path] {
            // The length prefix makes the boundaries between the parts unambiguous.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part.as_bytes());
        }
        hash.update(req.body);
        let digest = hash.finalize();
        let mut hash = [0; HASH_LEN];
        hash.copy_from_slice(&digest[..HASH_LEN]);
        Fingerprint { caller: xxh3_64(workspace.as_bytes()) as u32, hash }
    }

    /// Returns the first four bytes of the hash as a number, which is the same on every host.
    pub fn hash_prefix(&self) -> u32 {
        let [a, b, c, d, ..] = self.hash;
        u32::from_le_bytes([a, b, c, d])
    }

    /// Returns a hash that identifies the request's workspace.
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
        let workspace = workspace.parse().expect("the workspace name parses");
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
            fingerprint.to_string().parse::<Fingerprint>().expect("the fingerprint parses"),
            fingerprint
        );
        assert!("1-22".parse::<Fingerprint>().is_err());
    }
}
