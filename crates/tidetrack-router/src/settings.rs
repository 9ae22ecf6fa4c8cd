//! Settings of the router, read from TOML.

use serde::{Deserialize, Serialize};

use tidetrack_core::codes::Code;
use tidetrack_core::declare::{faults_error, read_toml, Fault};
use tidetrack_core::errors::Result;
use tidetrack_core::ids::{FailureDomain, HostId};
use tidetrack_core::message_auth::KeyRing;
use tidetrack_core::node::NodeOptions;
use tidetrack_core::traffic::suspects::SuspectOptions;

/// Minimum length of a secret in bytes.
const MIN_SECRET_LEN: usize = 16;

/// Settings of one router.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host.
    pub host: HostId,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
    /// Address on which callers are served, as `ip:port`.
    pub caller_address: String,
    /// Address on which other hosts are served, as `ip:port`.
    pub peer_address: String,
    /// Address for callers that is advertised to other hosts as `ip:port`; `None` advertises the
    /// address that is listened on.
    #[serde(default)]
    pub advertised_caller_address: Option<String>,
    /// Address for other hosts that is advertised to them as `ip:port`; `None` advertises the
    /// address that is listened on.
    #[serde(default)]
    pub advertised_peer_address: Option<String>,
    /// Address of the object API as `ip:port`.
    #[serde(rename = "platform")]
    pub platform_address: String,
    /// Address of the rating service as `ip:port`; `None` disables rating.
    #[serde(rename = "rating", default)]
    pub rating_address: Option<String>,
    /// Keys that sign and verify the calls between hosts.
    pub peer_keys: KeyRing,
    /// SHA-256 digest of the operator key, as 64 hexadecimal digits.
    pub operator_key_digest: String,
    /// Limits on the resources of the process.
    #[serde(default)]
    pub limits: ProcessLimits,
    /// Intervals and timeouts of the process.
    #[serde(default)]
    pub times: Times,
    /// Timing and size options of the node, such as the heartbeat between hosts.
    #[serde(default)]
    pub control: NodeOptions,
    /// Options for requests that may have crashed endpoints.
    #[serde(default)]
    pub suspects: SuspectOptions,
    /// Minimum level of log lines that are written: `debug`, `info`, `warning` or `error`.
    #[serde(default = "default_level")]
    pub log_level: String,
}

fn default_level() -> String {
    "info".into()
}

/// Limits on the resources of one process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProcessLimits {
    /// Number of request threads, which is the number of requests processed concurrently.
    pub threads: usize,
    /// Maximum number of requests queued for a request thread.
    #[serde(rename = "waiting")]
    pub max_queued_requests: usize,
    /// Maximum number of connections from callers.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// Maximum size of a request body in bytes.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: usize,
    /// Time in milliseconds within which a request body must arrive.
    #[serde(rename = "body_ms")]
    pub body_timeout_ms: u64,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        ProcessLimits {
            threads: 128,
            max_queued_requests: 256,
            max_connections: 2_000,
            max_body_bytes: 4 << 20,
            body_timeout_ms: 10_000,
        }
    }
}

/// Intervals and timeouts of one process, in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Times {
    /// Interval at which segments of the ledger are written.
    #[serde(rename = "flush_ms")]
    pub flush_interval_ms: u64,
    /// Maximum time that a request waits until its bill is stored in a second place.
    #[serde(rename = "bill_ms")]
    pub max_bill_wait_ms: u64,
    /// Time for which a shutdown still accepts requests, so that load balancers notice that the
    /// host is not ready.
    #[serde(rename = "grace_ms")]
    pub stop_grace_ms: u64,
    /// Maximum time that a shutdown waits for requests in flight.
    #[serde(rename = "drain_ms")]
    pub drain_timeout_ms: u64,
    /// Interval at which the load of one endpoint is read; the endpoints take turns. An endpoint
    /// with a recent report is skipped.
    #[serde(rename = "load_ms")]
    pub load_read_interval_ms: u64,
    /// Interval at which the list of hosts is read.
    #[serde(rename = "hosts_ms")]
    pub hosts_read_interval_ms: u64,
}

impl Default for Times {
    fn default() -> Self {
        Times {
            flush_interval_ms: 5_000,
            max_bill_wait_ms: 5_000,
            stop_grace_ms: 1_000,
            drain_timeout_ms: 120_000,
            load_read_interval_ms: 1_000,
            hosts_read_interval_ms: 5_000,
        }
    }
}

impl Settings {
    /// Reads settings from TOML text.
    ///
    /// Returns `BadSettings` with all faults found. Parse faults carry their line; faults of valid
    /// TOML with invalid values name the setting.
    pub fn from_toml(file: &str, text: &str) -> Result<Settings> {
        let settings: Settings =
            read_toml(file, text).map_err(|faults| faults_error(Code::BadSettings, &faults))?;
        let faults = settings.faults(file);
        match faults.is_empty() {
            true => Ok(settings),
            false => Err(faults_error(Code::BadSettings, &faults)),
        }
    }

    /// Lists the values that parse but are invalid.
    fn faults(&self, file: &str) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut add_fault = |message: String| {
            faults.push(Fault { file: file.to_string(), line: 0, message });
        };
        let addresses = [
            ("caller_address", Some(&self.caller_address)),
            ("peer_address", Some(&self.peer_address)),
            ("advertised_caller_address", self.advertised_caller_address.as_ref()),
            ("advertised_peer_address", self.advertised_peer_address.as_ref()),
            ("platform", Some(&self.platform_address)),
            ("rating", self.rating_address.as_ref()),
        ];
        for (name, address) in addresses {
            if let Some(address) = address {
                if address.parse::<std::net::SocketAddr>().is_err() {
                    add_fault(format!("{name}: {address:?} is not an ip:port address"));
                }
            }
        }
        if self.peer_keys.current.secret.len() < MIN_SECRET_LEN {
            add_fault(format!(
                "peer_keys.current: the secret is shorter than {MIN_SECRET_LEN} bytes"
            ));
        }
        if self.operator_key_digest.len() != 64 {
            add_fault("operator_key_digest: must have 64 hexadecimal digits".to_string());
        }
        if self.limits.threads == 0 {
            add_fault("limits.threads: must be at least 1, or no request is processed".to_string());
        }
        if self.suspects.bar_threshold == 0 {
            add_fault(
                "suspects.barred_from: must be at least 1, or every request is barred".to_string(),
            );
        }
        if self.suspects.max_suspects == 0 || self.suspects.max_suspects_per_caller == 0 {
            add_fault(
                "suspects.most, suspects.most_of_caller: must be at least 1, or no suspect is stored".to_string(),
            );
        }
        if !crate::logging::LEVELS.contains(&self.log_level.as_str()) {
            add_fault(format!("log_level: must be one of {:?}", crate::logging::LEVELS));
        }
        faults
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_parse_faults_name_file_and_line() {
        let text = "host = \"a\"\nfailure_domian = \"x\"\n[limits]\nthreads = \"many\"\n";
        let err =
            Settings::from_toml("r.toml", text).expect_err("the invalid settings are rejected");
        assert_eq!(err.code, Code::BadSettings);
        assert!(err.message.contains("r.toml:2:"), "{err}");
        assert!(err.message.contains("`failure_domain`"), "{err}");
        assert!(err.message.contains("r.toml:4:"), "{err}");
    }

    #[test]
    fn suspect_limits_that_bar_all_requests_or_store_none_are_rejected() {
        let example = include_str!("../../../examples/routers/router-1.toml");
        let parse_with = |more: &str| Settings::from_toml("r.toml", &format!("{example}\n{more}"));

        let valid = parse_with("[suspects]\nbarred_from = 5\nbarred_for = 60000\n")
            .expect("the valid settings are accepted");
        let error = parse_with("[suspects]\nbarred_from = 0\nmost = 0\n")
            .expect_err("the invalid settings are rejected");

        assert_eq!(valid.suspects.bar_threshold, 5);
        assert!(error.message.contains("barred_from") && error.message.contains("most"), "{error}");
    }
}
