//! Session tokens.
//!
//! A token contains the workspace's route, version and generation that a session started on, and is
//! authenticated by a code (MAC) under a key of the workspace. Every host can therefore verify it
//! without a shared store or a lookup. It has the form
//! `s1/KEY/route/model@version/generation/nonce/CODE`; none of the names contains a slash.

use crate::codes::Code;
use crate::errors::{Error, Result};
use crate::ids::{RouteId, VersionRef, WorkspaceId};
use crate::message_auth::{KeyRing, Purpose};

/// Version prefix of the tokens created here.
const TOKEN_FORMAT: &str = "s1";

/// The data of a session token.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Session {
    /// Workspace that may use the session.
    pub workspace: WorkspaceId,
    /// Route that the session is valid for.
    pub route: RouteId,
    /// Version that serves all requests of the session.
    pub version: VersionRef,
    /// Generation of the version.
    pub generation: u64,
    /// Distinguishes sessions and distributes them over endpoints.
    pub nonce: u64,
}

impl Session {
    fn payload(&self) -> String {
        let Session { route, version, generation, nonce, .. } = self;
        format!("{route}/{version}/{generation}/{nonce:x}")
    }

    /// Creates the token of this session, authenticated with the current key of `key_ring`.
    pub fn to_token(&self, key_ring: &KeyRing) -> String {
        key_ring.sign_token(
            TOKEN_FORMAT,
            Purpose::Session,
            self.workspace.as_str(),
            &self.payload(),
        )
    }

    /// Parses and verifies a token that `workspace` sent.
    pub fn from_token(token: &str, workspace: &WorkspaceId, key_ring: &KeyRing) -> Result<Session> {
        let invalid =
            || Error::new(Code::BadToken, "the session token is not valid for this workspace");
        let payload =
            key_ring.verify_token(TOKEN_FORMAT, Purpose::Session, workspace.as_str(), token);
        let fields: Vec<&str> = payload.ok_or_else(invalid)?.split('/').collect();
        let [route, version, generation, nonce] = fields[..] else { return Err(invalid()) };
        Ok(Session {
            workspace: workspace.clone(),
            route: route.parse().map_err(|_| invalid())?,
            version: version.parse().map_err(|_| invalid())?,
            generation: generation.parse().map_err(|_| invalid())?,
            nonce: u64::from_str_radix(nonce, 16).map_err(|_| invalid())?,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::message_auth::Key;

    fn key_ring(id: &str) -> KeyRing {
        KeyRing {
            current: Key { id: id.into(), secret: "0123456789abcdef".into() },
            previous: None,
        }
    }

    fn session() -> Session {
        Session {
            workspace: "w".parse().expect("the workspace name parses"),
            route: "chat.v2".parse().expect("the route name parses"),
            version: "m@1.5".parse().expect("the version name parses"),
            generation: 3,
            nonce: 0xabc,
        }
    }

    #[test]
    fn tokens_are_accepted_only_for_their_workspace() {
        let token = session().to_token(&key_ring("k"));
        let workspace = "w".parse().expect("the workspace name parses");
        let other = "v".parse().expect("the workspace name parses");
        assert_eq!(
            Session::from_token(&token, &workspace, &key_ring("k"))
                .expect("the session token is accepted"),
            session()
        );
        assert!(Session::from_token(&token, &other, &key_ring("k")).is_err());
        assert!(Session::from_token(&token, &workspace, &key_ring("j")).is_err());
    }

    #[test]
    fn modified_tokens_are_rejected() {
        let token = session().to_token(&key_ring("k"));
        let workspace = "w".parse().expect("the workspace name parses");
        for i in 0..token.len() {
            let mut bytes = token.clone().into_bytes();
            bytes[i] = if bytes[i] == b'1' { b'2' } else { b'1' };
            let forged = String::from_utf8(bytes).expect("the forged token is UTF-8");
            assert!(
                Session::from_token(&forged, &workspace, &key_ring("k")).is_err(),
                "forged token accepted: {forged}"
            );
        }
    }
}
