//! Message authentication codes (MACs) made with the fleet's key ring.
//!
//! The key ring has the current key and the previous one, so that keys can be rotated without
//! ending sessions. Each purpose and scope (such as a workspace) uses its own key, derived from the
//! fleet's key.

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Length to which MACs are truncated, in bytes (128 bits).
const MAC_LEN: usize = 16;

/// A secret and its name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Name of the key, sent along with each MAC.
    pub id: String,
    /// The secret, a text of at least 16 characters.
    pub secret: String,
}

/// The fleet's keys: the current one and, during a rotation, the previous one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRing {
    /// Key that signs and verifies.
    pub current: Key,
    /// Key that only verifies.
    #[serde(default)]
    pub previous: Option<Key>,
}

/// What a MAC is used for. A MAC made for one purpose is not valid for another.
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
    /// Returns the MAC of `parts` under the current key, in hexadecimal.
    pub fn sign(&self, purpose: Purpose, scope: &str, parts: &[&[u8]]) -> String {
        to_hex(&compute_mac(&self.current, purpose, scope, parts)[..MAC_LEN])
    }

    /// Reports whether `received` is the MAC of `parts` under the key named `key_id`.
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

/// Signed tokens of the form `FORM/KEY/text/CODE`, which callers receive as sessions and tickets.
impl KeyRing {
    /// Returns a token that carries `text`, which may contain slashes, signed for `scope`.
    pub fn sign_token(&self, form: &str, purpose: Purpose, scope: &str, text: &str) -> String {
        let code = self.sign(purpose, scope, &[text.as_bytes()]);
        format!("{form}/{}/{text}/{code}", self.current.id)
    }

    /// Returns the text of a token of this form, or `None` if its MAC is not valid for `scope`.
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

/// Compares in time that does not depend on where the first difference is.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}

/// Returns the SHA-256 digest of `data` in hexadecimal.
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
