//! Identifier types.
//!
//! Each identifier is a newtype over a short validated string, so that a workspace name cannot be passed
//! where a host name is expected. Names are 1 to 64 characters of `a-z A-Z 0-9 . _ -`.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::errors::{bad_value, Error, Result};

/// Maximum length of a name, in characters.
pub const MAX_NAME_LEN: usize = 64;

/// Returns an error naming `kind` if `s` is not a valid name.
fn check_name(kind: &'static str, s: &str) -> Result<()> {
    let has_valid_length = !s.is_empty() && s.len() <= MAX_NAME_LEN;
    let has_valid_chars =
        s.chars().all(|c| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-'));
    if has_valid_length && has_valid_chars {
        Ok(())
    } else {
        Err(bad_value(kind, s, "1 to 64 of a-z A-Z 0-9 . _ -"))
    }
}

/// Defines a newtype for a validated name of the given kind.
macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(s: &str) -> Result<Self> {
                check_name($kind, s)?;
                Ok($name(Arc::from(s)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(s: String) -> Result<Self> {
                s.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.to_string()
            }
        }
    };
}

name_id!(
    /// The name of a workspace.
    WorkspaceId,
    "workspace"
);
name_id!(
    /// The name of a model.
    ModelId,
    "model"
);
name_id!(
    /// The name of a version within its model.
    VersionName,
    "version"
);
name_id!(
    /// The name of a route, which is the name of its policy.
    RouteId,
    "route"
);
name_id!(
    /// The name of a pool of endpoints.
    PoolId,
    "pool"
);
name_id!(
    /// The name of an endpoint.
    EndpointId,
    "endpoint"
);
name_id!(
    /// The name of a plain service.
    ServiceId,
    "service"
);
name_id!(
    /// The name of a roll-out.
    RolloutId,
    "rollout"
);
name_id!(
    /// The name of a host.
    HostId,
    "host"
);
name_id!(
    /// The name of a failure domain.
    FailureDomain,
    "failure domain"
);
name_id!(
    /// The id that callers give to a part of a prompt. Prompts that begin with the same parts name the same ids.
    PartId,
    "prompt part"
);

/// A 32-bit hash of an endpoint's name, used in its place in messages and tables that must stay small.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct EndpointKey(u32);

impl From<&EndpointId> for EndpointKey {
    fn from(id: &EndpointId) -> EndpointKey {
        // A hash collision mixes the data of two endpoints; no guarantee depends on the keys being unique.
        EndpointKey(xxh3_64(id.as_str().as_bytes()) as u32)
    }
}

impl EndpointKey {
    /// Returns the hash as a number.
    pub fn get(self) -> u32 {
        self.0
    }
}

/// A model and one of its versions, in the format `model@version`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct VersionRef {
    /// Name of the model.
    pub model: ModelId,
    /// Name of the version within the model.
    pub version: VersionName,
}

impl fmt::Display for VersionRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.model, self.version)
    }
}

impl FromStr for VersionRef {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let (model, version) =
            s.split_once('@').ok_or_else(|| bad_value("version", s, "model@version"))?;
        Ok(VersionRef { model: model.parse()?, version: version.parse()? })
    }
}

impl TryFrom<String> for VersionRef {
    type Error = Error;

    fn try_from(s: String) -> Result<Self> {
        s.parse()
    }
}

impl From<VersionRef> for String {
    fn from(v: VersionRef) -> String {
        v.to_string()
    }
}

/// One run of a host's process: the host's name and a number that distinguishes it from its other runs.
///
/// The format is `host~hex`. A restarted process is a new incarnation and keeps nothing that the previous
/// one held.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Incarnation {
    /// Name of the host.
    pub host: HostId,
    /// Random number chosen at the start of the process. It identifies the run; a larger number does not
    /// mean a later run.
    pub nonce: u64,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{:x}", self.host, self.nonce)
    }
}

impl FromStr for Incarnation {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let bad = || bad_value("incarnation", s, "host~hex");
        let (host, nonce) = s.rsplit_once('~').ok_or_else(bad)?;
        Ok(Incarnation {
            host: host.parse()?,
            nonce: u64::from_str_radix(nonce, 16).map_err(|_| bad())?,
        })
    }
}

impl TryFrom<String> for Incarnation {
    type Error = Error;

    fn try_from(s: String) -> Result<Self> {
        s.parse()
    }
}

impl From<Incarnation> for String {
    fn from(i: Incarnation) -> String {
        i.to_string()
    }
}

/// The fleet-wide identifier of a request: the incarnation that admitted it and a number within that.
///
/// The format is `host~hex.number`. It identifies the request in logs, attempts and bills.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestId {
    /// The incarnation that admitted the request.
    pub incarnation: Incarnation,
    /// Sequence number of the request within that incarnation, from 1.
    pub number: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.incarnation, self.number)
    }
}

impl FromStr for RequestId {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let bad = || bad_value("request id", s, "host~hex.number");
        let (incarnation, number) = s.rsplit_once('.').ok_or_else(bad)?;
        Ok(RequestId {
            incarnation: incarnation.parse()?,
            number: number.parse().map_err(|_| bad())?,
        })
    }
}

impl TryFrom<String> for RequestId {
    type Error = Error;

    fn try_from(s: String) -> Result<Self> {
        s.parse()
    }
}

impl From<RequestId> for String {
    fn from(r: RequestId) -> String {
        r.to_string()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_are_checked() {
        assert!("north-1".parse::<WorkspaceId>().is_ok());
        for bad in ["", "a b", "a/b", &"x".repeat(65)] {
            assert!(bad.parse::<WorkspaceId>().is_err(), "accepted as a workspace name: {bad:?}");
        }
    }

    #[test]
    fn compound_ids_round_trip() {
        let id = "room-1.a~ff.12".parse::<RequestId>().expect("the request id parses");
        assert_eq!(id.incarnation.host.as_str(), "room-1.a");
        assert_eq!(id.to_string(), "room-1.a~ff.12");
        assert_eq!(
            "m@1".parse::<VersionRef>().expect("the version name parses").to_string(),
            "m@1"
        );
    }
}
