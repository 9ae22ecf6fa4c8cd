//! Message authentication with keys of the fleet's key ring.
//!
//! The key ring holds the key in use and the one before it, so that keys can be rotated without
//! ending a session. Each purpose and workspace has a key of its own, derived from the fleet's.

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of a code that are kept: 128 bits.
const MAC_LEN: usize = 16;

/// One secret with the name it is known by.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The key's name, carried beside each code.
    pub id: String,
    /// The secret, any text of 16 characters or more.
    pub secret: String,
}

/// The fleet's keys: the one that makes codes and the one that may still be met.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRing {
    /// Makes codes and checks them.
    pub current: Key,
    /// Only checks codes.
    #[serde(default)]
    pub previous: Option<Key>,
}

/// What a code is for. Codes of one purpose are worthless for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Calls between hosts.
    Peer,
    /// Session tokens.
    Session,
    /// Tickets.
    Ticket,
}

impl Purpose {
    fn label(self) -> &'static [u8] {
        match self {
            Purpose::Peer => b"tidetrack peer",
            Purpose::Session => b"tidetrack session",
            Purpose::Ticket => b"tidetrack ticket",
        }
    }
}

impl KeyRing {
    /// Makes the code of `parts`, as hexadecimal text.
    pub fn sign(&self, purpose: Purpose, scope: &str, parts: &[&[u8]]) -> String {
        to_hex(&compute_mac(&self.current, purpose, scope, parts)[..MAC_LEN])
    }

    /// Checks a code against the key named `key_id`.
    pub fn verify(
        &self,
        purpose: Purpose,
        scope: &str,
        parts: &[&[u8]],
        key_id: &str,
        received: &str,
    ) -> bool {
        let key = match &self.previous {
            _ if self.current.id == key_id => &self.current,
            Some(previous) if previous.id == key_id => previous,
            _ => return false,
        };
        let expected = to_hex(&compute_mac(key, purpose, scope, parts)[..MAC_LEN]);
        constant_time_eq(expected.as_bytes(), received.as_bytes())
    }
}

/// Sealed text of the form `FORM/KEY/text/CODE`, as sessions and tickets are given to callers.
impl KeyRing {
    /// Seals `text`, which may itself have slashes, for a scope.
    pub fn sign_token(&self, form: &str, purpose: Purpose, scope: &str, text: &str) -> String {
        let code = self.sign(purpose, scope, &[text.as_bytes()]);
        format!("{form}/{}/{text}/{code}", self.current.id)
    }

    /// Gets the text out of a token of this form, if the code is right for the scope.
    pub fn verify_token<'a>(
        &self,
        form: &str,
        purpose: Purpose,
        scope: &str,
        token: &'a str,
    ) -> Option<&'a str> {
        let (key_id, rest) = token.strip_prefix(form)?.strip_prefix('/')?.split_once('/')?;
        let (text, code) = rest.rsplit_once('/')?;
        self.verify(purpose, scope, &[text.as_bytes()], key_id, code).then_some(text)
    }
}

fn compute_mac(key: &Key, purpose: Purpose, scope: &str, parts: &[&[u8]]) -> [u8; 32] {
    let mut scope_hmac = new_hmac(key.secret.as_bytes());
    scope_hmac.update(purpose.label());
    scope_hmac.update(scope.as_bytes());
    let mut hmac = new_hmac(&scope_hmac.finalize().into_bytes());
    for part in parts {
        hmac.update(&(part.len() as u64).to_le_bytes());
        hmac.update(part);
    }
    hmac.finalize().into_bytes().into()
}

fn new_hmac(key: &[u8]) -> Hmac<Sha256> {
    Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes a key of any length")
}

/// Compares without stopping at the first difference.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}

/// Gets the SHA-256 digest of `data` as hexadecimal text.
pub fn digest(data: &[u8]) -> String {
    to_hex(&Sha256::digest(data))
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ring(current: &str, previous: Option<&str>) -> KeyRing {
        let key = |id: &str| Key { id: id.into(), secret: format!("secret of {id} long enough") };
        KeyRing { current: key(current), previous: previous.map(key) }
    }

    #[test]
    fn mac_is_valid_after_one_key_rotation_but_not_two() {
        let mac = ring("a", None).sign(Purpose::Session, "w", &[b"x"]);
        assert!(ring("b", Some("a")).verify(Purpose::Session, "w", &[b"x"], "a", &mac));
        assert!(!ring("c", Some("b")).verify(Purpose::Session, "w", &[b"x"], "a", &mac));
    }

    #[test]
    fn mac_depends_on_purpose_scope_and_part_boundaries() {
        let ring = ring("a", None);
        let mac = ring.sign(Purpose::Session, "w", &[b"ab", b"c"]);
        assert!(!ring.verify(Purpose::Ticket, "w", &[b"ab", b"c"], "a", &mac));
        assert!(!ring.verify(Purpose::Session, "v", &[b"ab", b"c"], "a", &mac));
        assert!(!ring.verify(Purpose::Session, "w", &[b"a", b"bc"], "a", &mac));
    }
}
