//! Calls between hosts.
//!
//! Every call carries who calls, the body as text and a code of both made with the fleet's key, so
//! that a host takes nothing from a stranger. Replays are harmless: every body merges as a maximum,
//! and a reply counts only with the nonce that was asked.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::ids::HostId;
use tidetrack_core::message_auth::{KeyRing, Purpose};
use tidetrack_core::node::Exchange;

/// The method that exchanges what changed.
pub const METHOD_EXCHANGE: &str = "exchange";
/// The method that has a host hold bills.
pub const METHOD_HOLD: &str = "hold";
/// The method that has a host call another.
pub const METHOD_PROBE: &str = "probe";

/// A sealed call or reply.
#[derive(Debug, Serialize, Deserialize)]
pub struct SignedMessage {
    /// The key's name.
    #[serde(rename = "k")]
    pub key_id: String,
    /// The code.
    #[serde(rename = "c")]
    pub mac: String,
    /// The body.
    #[serde(rename = "b")]
    pub body: Box<RawValue>,
}

impl Clone for SignedMessage {
    fn clone(&self) -> Self {
        SignedMessage {
            key_id: self.key_id.clone(),
            mac: self.mac.clone(),
            body: self.body.to_owned(),
        }
    }
}

impl SignedMessage {
    /// Seals a body for `method`.
    pub fn sign<T: Serialize>(ring: &KeyRing, method: &str, body: &T) -> Result<SignedMessage> {
        let body = serde_json::value::to_raw_value(body)
            .map_err(|e| Error::new(Code::Internal, e.to_string()))?;
        let mac = ring.sign(Purpose::Peer, method, &[body.get().as_bytes()]);
        Ok(SignedMessage { key_id: ring.current.id.clone(), mac, body })
    }

    /// Opens a sealed body of `method`.
    pub fn verify<T: DeserializeOwned>(&self, ring: &KeyRing, method: &str) -> Result<T> {
        let parts: [&[u8]; 1] = [self.body.get().as_bytes()];
        if !ring.verify(Purpose::Peer, method, &parts, &self.key_id, &self.mac) {
            return Err(Error::new(Code::PeerRefused, "the call's code is not the fleet's"));
        }
        serde_json::from_str(self.body.get())
            .map_err(|e| Error::new(Code::PeerRefused, format!("{method}: {e}")))
    }
}

/// A half of an exchange, addressed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExchangeCall {
    /// The host that it is meant for.
    pub to: HostId,
    /// The half.
    pub half: Exchange,
}

/// Whether bills are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldReply {
    /// All of them are.
    pub held: bool,
}

/// An ask to call another host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProbeCall {
    /// The host.
    pub target: HostId,
    /// `ip:port`.
    pub address: String,
}

/// Whether the other host answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeReply {
    /// It did.
    pub reached: bool,
}

#[cfg(test)]
mod tests {
    use super::*;
    use tidetrack_core::message_auth::Key;

    #[test]
    fn verify_rejects_changed_body_and_other_method() {
        let key = Key { id: "k".into(), secret: "0123456789abcdef".into() };
        let ring = KeyRing { current: key, previous: None };
        let mut signed = SignedMessage::sign(&ring, METHOD_PROBE, &ProbeReply { reached: true })
            .expect("sealed");
        assert!(signed.verify::<ProbeReply>(&ring, METHOD_PROBE).is_ok());
        assert!(signed.verify::<ProbeReply>(&ring, METHOD_HOLD).is_err());
        signed.body = RawValue::from_string("{\"reached\":false}".into()).expect("JSON");
        assert!(signed.verify::<ProbeReply>(&ring, METHOD_PROBE).is_err());
    }
}
