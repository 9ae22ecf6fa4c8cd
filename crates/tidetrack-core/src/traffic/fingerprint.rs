//! Fingerprints by which requests, and the prompt parts that they share, are recognized again.
//!
//! Attempt ids are new for each try, so a request is recognized by its contents: workspace, host
//! name, method, path, prompt parts and body. Requests with different prompts may have the same body.
//! Callers choose these, so the hash must be collision-resistant.
//! It includes the workspace, so that no workspace can send a request that is taken for one of
//! another workspace.
//!
//! Requests of which no two are alike may still have parts of their prompts in common. A part has a
//! fingerprint for each workspace that uses it, with a hash that is the same for all workspaces.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64;

use crate::errors::{bad_value, Error};
use crate::ids::{PartId, WorkspaceId};

/// Number of hash bytes that are kept.
const HASH_LEN: usize = 16;

/// Last bytes of the hash of a prompt part. A request whose hash ends so by chance is treated as a
/// part that no other request has.
const PART_MARK: [u8; 4] = *b"part";

/// Maximum number of parts of one prompt that get a fingerprint.
const MAX_PARTS: usize = 64;

/// Identifies a caller's request, or a part of its prompt, across repeated sends and across hosts.
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
    /// Parts of the prompt in order, the last of which belongs to the request itself or its session.
    /// Empty if the request names none.
    pub prompt_parts: &'a [PartId],
    /// Complete body, in segments. The division into segments has no effect.
    pub body: &'a [&'a [u8]],
}

impl Fingerprint {
    /// Calculates the fingerprint of a request.
    pub fn of(req: &RequestIdentity<'_>) -> Fingerprint {
        let workspace = req.workspace.map_or("", WorkspaceId::as_str);
        let mut hash = Sha256::new();
        let prompt_parts = req.prompt_parts.iter().map(PartId::as_str);
        let fields = [workspace, req.hostname, req.method, req.path].into_iter();
        for field in fields.chain(prompt_parts) {
            // The length prefix makes the boundaries between the fields unambiguous.
            hash.update((field.len() as u64).to_le_bytes());
            hash.update(field.as_bytes());
        }
        req.body.iter().for_each(|segment| hash.update(segment));
        Fingerprint { caller: caller_hash(req.workspace), hash: truncate(&hash.finalize()) }
    }

    /// Calculates the fingerprint of a prompt part in the requests of a workspace.
    pub fn of_part(workspace: Option<&WorkspaceId>, part: &PartId) -> Fingerprint {
        let mut hash = truncate(&Sha256::digest(part.as_str().as_bytes()));
        hash[HASH_LEN - PART_MARK.len()..].copy_from_slice(&PART_MARK);
        Fingerprint { caller: caller_hash(workspace), hash }
    }

    /// Returns the fingerprint of the content in the requests of a workspace, given by its hash.
    pub fn of_content(caller: u32, content: ContentHash) -> Fingerprint {
        Fingerprint { caller, hash: content.0 }
    }

    /// Reports whether this is the fingerprint of a prompt part.
    pub fn is_part(&self) -> bool {
        self.hash.ends_with(&PART_MARK)
    }

    /// Returns the hash of the contents, which is the same for a part in requests of any workspace.
    pub fn content(&self) -> ContentHash {
        ContentHash(self.hash)
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

fn caller_hash(workspace: Option<&WorkspaceId>) -> u32 {
    xxh3_64(workspace.map_or("", WorkspaceId::as_str).as_bytes()) as u32
}

fn truncate(digest: &[u8]) -> [u8; HASH_LEN] {
    let mut hash = [0; HASH_LEN];
    hash.copy_from_slice(&digest[..HASH_LEN]);
    hash
}

/// Hash of what a fingerprint identifies, without the workspace that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ContentHash([u8; HASH_LEN]);

impl fmt::Display for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl AsRef<[Fingerprint]> for Fingerprint {
    fn as_ref(&self) -> &[Fingerprint] {
        std::slice::from_ref(self)
    }
}

/// The fingerprint of a request, followed by those of the prompt parts that other requests may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestFingerprints(Vec<Fingerprint>);

impl RequestFingerprints {
    /// Calculates the fingerprints of a request.
    pub fn of(req: &RequestIdentity<'_>) -> RequestFingerprints {
        let shared = &req.prompt_parts[..req.prompt_parts.len().saturating_sub(1)];
        let parts = shared.iter().take(MAX_PARTS);
        let mut fingerprints = vec![Fingerprint::of(req)];
        fingerprints.extend(parts.map(|part| Fingerprint::of_part(req.workspace, part)));
        RequestFingerprints(fingerprints)
    }

    /// Returns the fingerprint of the request as a whole.
    pub fn request(&self) -> Fingerprint {
        self.0[0]
    }

    /// Returns the hashes of the shared parts in order, separated by commas, as they appear in
    /// fingerprints of parts.
    pub fn part_hashes(&self) -> String {
        let hashes: Vec<String> = self.0[1..].iter().map(|f| f.content().to_string()).collect();
        hashes.join(",")
    }
}

impl AsRef<[Fingerprint]> for RequestFingerprints {
    fn as_ref(&self) -> &[Fingerprint] {
        &self.0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}-{}", self.caller, self.content())
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
            prompt_parts: &[],
            body: &[body.as_bytes()],
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
