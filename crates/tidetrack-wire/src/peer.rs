//! Calls between hosts.
//!
//! Each call carries the name of a key, the body as text, and a MAC of the method and the body made
//! with that key of the fleet, so that a host accepts calls only from its own fleet. Replayed calls
//! are harmless: receivers merge each body by taking the maximum, and a reply is only accepted with
//! the nonce of its request.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::ids::HostId;
use tidetrack_core::message_auth::{KeyRing, Purpose};
use tidetrack_core::node::Exchange;

/// Method that exchanges changes.
pub const METHOD_EXCHANGE: &str = "exchange";
/// Method that asks a host to hold bills.
pub const METHOD_HOLD: &str = "hold";
/// Method that asks a host to call another one.
pub const METHOD_PROBE: &str = "probe";

/// A signed call or reply.
#[derive(Debug, Serialize, Deserialize)]
pub struct SignedMessage {
    /// Name of the key.
    #[serde(rename = "k")]
    pub key_id: String,
    /// MAC of the method and the body, in hexadecimal.
    #[serde(rename = "c")]
    pub mac: String,
    /// Body as JSON.
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
    /// Serializes and signs a body for `method`. Returns `Internal` if it cannot be serialized.
    pub fn sign<T: Serialize>(ring: &KeyRing, method: &str, body: &T) -> Result<SignedMessage> {
        let body = serde_json::value::to_raw_value(body)
            .map_err(|e| Error::new(Code::Internal, e.to_string()))?;
        let mac = ring.sign(Purpose::Peer, method, &[body.get().as_bytes()]);
        Ok(SignedMessage { key_id: ring.current.id.clone(), mac, body })
    }

    /// Verifies and parses a body for `method`. Returns `PeerRefused` if the MAC is wrong or the
    /// body is malformed.
    pub fn verify<T: DeserializeOwned>(&self, ring: &KeyRing, method: &str) -> Result<T> {
        let parts: [&[u8]; 1] = [self.body.get().as_bytes()];
        if !ring.verify(Purpose::Peer, method, &parts, &self.key_id, &self.mac) {
            return Err(Error::new(
                Code::PeerRefused,
                "the MAC of the message was not made with a key of the fleet",
            ));
        }
        serde_json::from_str(self.body.get())
            .map_err(|e| Error::new(Code::PeerRefused, format!("{method}: {e}")))
    }
}

/// One half of an exchange, with its recipient.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExchangeCall {
    /// Host that the call is addressed to.
    pub to: HostId,
    /// The message of the caller.
    pub half: Exchange,
}

/// Reply to a call to hold bills.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldReply {
    /// True if all of the bills are held.
    pub held: bool,
}

/// Call that asks a host to call another one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProbeCall {
    /// Host to call.
    pub target: HostId,
    /// Address of that host as `ip:port`.
    pub address: String,
}

/// Reply to a probe call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeReply {
    /// Whether the other host replied.
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
            .expect("the message can be signed");
        assert!(signed.verify::<ProbeReply>(&ring, METHOD_PROBE).is_ok());
        assert!(signed.verify::<ProbeReply>(&ring, METHOD_HOLD).is_err());
        signed.body =
            RawValue::from_string("{\"reached\":false}".into()).expect("the body is valid JSON");
        assert!(signed.verify::<ProbeReply>(&ring, METHOD_PROBE).is_err());
    }
}
