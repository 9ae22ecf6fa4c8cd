//! Session tokens.
//!
//! A token names the workspace, route and version that a session started on and is sealed with a
//! key of the workspace's own, so that every host honours it with no shared store and no look-up.
//! It is text of the form `s1/KEY/route/model@version/generation/nonce/CODE`; no name holds a
//! slash.

use crate::codes::Code;
use crate::errors::{Error, Result};
use crate::ids::{RouteId, VersionRef, WorkspaceId};
use crate::message_auth::{KeyRing, Purpose};

/// The form of token made here.
const FORM: &str = "s1";

/// What a session is bound to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Session {
    /// The workspace that may use it.
    pub workspace: WorkspaceId,
    /// The route that it is for.
    pub route: RouteId,
    /// The version that it keeps.
    pub version: VersionRef,
    /// The version's generation.
    pub generation: u64,
    /// Tells sessions apart; spreads them over endpoints.
    pub nonce: u64,
}

impl Session {
    fn text(&self) -> String {
        let Session { route, version, generation, nonce, .. } = self;
        format!("{route}/{version}/{generation}/{nonce:x}")
    }

    /// Makes the token.
    pub fn to_token(&self, ring: &KeyRing) -> String {
        ring.sign_token(FORM, Purpose::Session, self.workspace.as_str(), &self.text())
    }

    /// Reads a token that `workspace` sends.
    pub fn from_token(token: &str, workspace: &WorkspaceId, ring: &KeyRing) -> Result<Session> {
        let bad = || Error::new(Code::BadToken, "the session token is not one of this workspace");
        let text = ring.verify_token(FORM, Purpose::Session, workspace.as_str(), token);
        let fields: Vec<&str> = text.ok_or_else(bad)?.split('/').collect();
        let [route, version, generation, nonce] = fields[..] else { return Err(bad()) };
        Ok(Session {
            workspace: workspace.clone(),
            route: route.parse().map_err(|_| bad())?,
            version: version.parse().map_err(|_| bad())?,
            generation: generation.parse().map_err(|_| bad())?,
            nonce: u64::from_str_radix(nonce, 16).map_err(|_| bad())?,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::message_auth::Key;

    fn ring(id: &str) -> KeyRing {
        KeyRing {
            current: Key { id: id.into(), secret: "0123456789abcdef".into() },
            previous: None,
        }
    }

    fn session() -> Session {
        Session {
            workspace: "w".parse().expect("a workspace"),
            route: "chat.v2".parse().expect("a route"),
            version: "m@1.5".parse().expect("a version"),
            generation: 3,
            nonce: 0xabc,
        }
    }

    #[test]
    fn a_token_is_read_by_its_workspace_only() {
        let token = session().to_token(&ring("k"));
        let own = "w".parse().expect("a workspace");
        let other = "v".parse().expect("a workspace");
        assert_eq!(Session::from_token(&token, &own, &ring("k")).expect("a session"), session());
        assert!(Session::from_token(&token, &other, &ring("k")).is_err());
        assert!(Session::from_token(&token, &own, &ring("j")).is_err());
    }

    #[test]
    fn any_change_to_a_token_is_refused() {
        let token = session().to_token(&ring("k"));
        let own = "w".parse().expect("a workspace");
        for i in 0..token.len() {
            let mut bytes = token.clone().into_bytes();
            bytes[i] = if bytes[i] == b'1' { b'2' } else { b'1' };
            let forged = String::from_utf8(bytes).expect("ASCII");
            assert!(Session::from_token(&forged, &own, &ring("k")).is_err(), "{forged}");
        }
    }
}
