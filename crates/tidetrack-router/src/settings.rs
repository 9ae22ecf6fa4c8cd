//! The router's settings, in TOML.

use serde::{Deserialize, Serialize};

use tidetrack_core::codes::Code;
use tidetrack_core::declare::{faults_error, read_toml, Fault};
use tidetrack_core::errors::Result;
use tidetrack_core::ids::{FailureDomain, HostId};
use tidetrack_core::message_auth::KeyRing;
use tidetrack_core::node::NodeOptions;
use tidetrack_core::traffic::suspects::SuspectOptions;

/// Least characters of a secret.
const MIN_SECRET_LEN: usize = 16;

/// The settings of one router.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The host's name.
    pub host: HostId,
    /// The host's failure domain.
    pub failure_domain: FailureDomain,
    /// Where callers are served, as `ip:port`.
    pub caller_address: String,
    /// Where other hosts are served, as `ip:port`.
    pub peer_address: String,
    /// Address that other hosts are told for callers, if it is another.
    #[serde(default)]
    pub advertised_caller_address: Option<String>,
    /// Address that other hosts are told, if it is another.
    #[serde(default)]
    pub advertised_peer_address: Option<String>,
    /// The object API, as `ip:port`.
    #[serde(rename = "platform")]
    pub platform_address: String,
    /// The rating service, as `ip:port`.
    #[serde(rename = "rating", default)]
    pub rating_address: Option<String>,
    /// Keys of the calls between hosts.
    pub peer_keys: KeyRing,
    /// SHA-256 digest of the key for operators' calls, in hexadecimal.
    pub operator_key_digest: String,
    /// Limits of this process.
    #[serde(default)]
    pub limits: ProcessLimits,
    /// Times of this process.
    #[serde(default)]
    pub times: Times,
    /// Times and sizes of the control state.
    #[serde(default)]
    pub control: NodeOptions,
    /// How requests are treated under which endpoints crash.
    #[serde(default)]
    pub suspects: SuspectOptions,
    /// Log lines below this are left out: `debug`, `info`, `warning` or `error`.
    #[serde(default = "default_level")]
    pub log_level: String,
}

fn default_level() -> String {
    "info".into()
}

/// Limits of one process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProcessLimits {
    /// Threads that carry requests: requests at a time.
    pub threads: usize,
    /// Requests that wait for a thread.
    #[serde(rename = "waiting")]
    pub max_queued_requests: usize,
    /// Connections of callers.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// Largest body in bytes.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: usize,
    /// Milliseconds for a body to arrive.
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

/// Times of one process, in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Times {
    /// Segments of the ledger are written this often.
    #[serde(rename = "flush_ms")]
    pub flush_interval_ms: u64,
    /// A bill may wait so long for a safe place.
    #[serde(rename = "bill_ms")]
    pub max_bill_wait_ms: u64,
    /// A planned stop goes on taking requests for so long, until balancers have noticed.
    #[serde(rename = "grace_ms")]
    pub stop_grace_ms: u64,
    /// A planned stop waits so long for requests in flight.
    #[serde(rename = "drain_ms")]
    pub drain_timeout_ms: u64,
    /// Endpoints' loads are read this often at most, one endpoint at a time.
    #[serde(rename = "load_ms")]
    pub load_read_interval_ms: u64,
    /// The list of hosts is read this often.
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
    /// Reads settings from TOML text; every fault is named with its line.
    pub fn from_toml(file: &str, text: &str) -> Result<Settings> {
        let settings: Settings =
            read_toml(file, text).map_err(|faults| faults_error(Code::BadSettings, &faults))?;
        let faults = settings.faults(file);
        match faults.is_empty() {
            true => Ok(settings),
            false => Err(faults_error(Code::BadSettings, &faults)),
        }
    }

    /// Lists what reads well and makes no sense.
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
                    add_fault(format!("{name}: {address:?} is not ip:port"));
                }
            }
        }
        if self.peer_keys.current.secret.len() < MIN_SECRET_LEN {
            add_fault(format!("peer_keys.current: shorter than {MIN_SECRET_LEN} characters"));
        }
        if self.operator_key_digest.len() != 64 {
            add_fault("operator_key_digest: not 64 hexadecimal digits".to_string());
        }
        if self.limits.threads == 0 {
            add_fault("limits.threads: none would carry a request".to_string());
        }
        if self.suspects.bar_threshold == 0 {
            add_fault("suspects.barred_from: every request would be barred".to_string());
        }
        if self.suspects.max_suspects == 0 || self.suspects.max_suspects_per_caller == 0 {
            add_fault(
                "suspects.most, suspects.most_of_caller: none would be remembered".to_string(),
            );
        }
        if !crate::logging::LEVELS.contains(&self.log_level.as_str()) {
            add_fault(format!("log_level: one of {:?} is taken", crate::logging::LEVELS));
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
        let err = Settings::from_toml("r.toml", text).expect_err("faults");
        assert_eq!(err.code, Code::BadSettings);
        assert!(err.message.contains("r.toml:2:"), "{err}");
        assert!(err.message.contains("`failure_domain`"), "{err}");
        assert!(err.message.contains("r.toml:4:"), "{err}");
    }

    #[test]
    fn suspect_limits_that_bar_all_requests_or_store_none_are_rejected() {
        let example = include_str!("../../../examples/routers/router-1.toml");
        let parse_with = |more: &str| Settings::from_toml("r.toml", &format!("{example}\n{more}"));

        let valid =
            parse_with("[suspects]\nbarred_from = 5\nbarred_for = 60000\n").expect("settings");
        let error = parse_with("[suspects]\nbarred_from = 0\nmost = 0\n").expect_err("faults");

        assert_eq!(valid.suspects.bar_threshold, 5);
        assert!(error.message.contains("barred_from") && error.message.contains("most"), "{error}");
    }
}
