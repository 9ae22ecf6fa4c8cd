//! A small fleet for tests: stand-ins run in the current process and routers as child processes. By
//! default there are proxies between the routers and the platform, between the hosts, and in front
//! of the stable engine and the service.

use std::path::{Path, PathBuf};

use anyhow::{anyhow, Result};

use tidetrack_core::declare::{read_folder, DeclaredObjects};
use tidetrack_core::message_auth::{digest, Key, KeyRing};
use tidetrack_core::node::NodeOptions;
use tidetrack_core::traffic::suspects::SuspectOptions;
use tidetrack_ctl::{apply, status};
use tidetrack_router::control::Status;
use tidetrack_router::settings::{ProcessLimits, Times};
use tidetrack_router::Settings;
use tidetrack_standin::engine::{Engine, EngineOptions};
use tidetrack_standin::http::RunningServer;
use tidetrack_standin::objects::Platform;
use tidetrack_standin::rater::Rater;
use tidetrack_standin::service::Service;
use tidetrack_wire::platform::{ListedHost, ListedState, PlatformClient};

use crate::caller::Caller;
use crate::process::RouterProcess;
use crate::proxy::Proxy;
use crate::wait_for;

/// API key of the fleet's workspace.
pub const KEY: &str = "caller-key";
/// Key for the operators' requests.
pub const OPERATOR_KEY: &str = "operator-key";

/// Options of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Number of routers.
    pub hosts: usize,
    /// Number of failure domains; the routers are assigned to them round robin.
    pub domains: usize,
    /// Options of the stable version's engine, and of the canary version's except for the quality.
    /// The fleet sets the version.
    pub engine: EngineOptions,
    /// Quality of the canary version, from 0 to 1.
    pub canary_quality: f64,
    /// Timeouts and intervals of the routers.
    pub times: Times,
    /// Options of the routers' control state.
    pub control: NodeOptions,
    /// Number of threads of each router.
    pub threads: usize,
    /// Rate limit of the workspace, in requests per second.
    pub requests_per_second: f64,
    /// Whether hosts reach the platform and each other without proxies, as byte measurements
    /// require.
    pub bypasses_proxies: bool,
    /// Additional declarations in TOML.
    pub extra_declarations: String,
}

impl Default for FleetOptions {
    fn default() -> Self {
        FleetOptions {
            hosts: 3,
            domains: 2,
            engine: EngineOptions { token_us: 500, ..EngineOptions::default() },
            canary_quality: 0.9,
            times: Times { flush_interval_ms: 500, stop_grace_ms: 100, ..Times::default() },
            control: NodeOptions::default(),
            threads: 32,
            requests_per_second: 10_000.0,
            bypasses_proxies: false,
            extra_declarations: String::new(),
        }
    }
}

/// A host of a fleet and its proxies.
pub struct Host {
    /// The router process; `None` while it is down.
    pub process: Option<RouterProcess>,
    /// Proxy from this host to the platform.
    pub platform_proxy: Proxy,
    /// Proxy from other hosts to the peer address of this host.
    pub peer_proxy: Proxy,
    /// Proxy from other hosts to the caller address of this host, for forwarded calls.
    pub caller_proxy: Proxy,
    settings: Settings,
}

impl Host {
    /// Returns the router process. Panics if it is down.
    pub fn process(&self) -> &RouterProcess {
        self.process.as_ref().expect("the host process is running")
    }

    /// Returns a caller that sends its requests to this host.
    pub fn caller(&self) -> Caller {
        Caller { host: self.process().caller_address.clone(), key: KEY.into() }
    }

    /// Fetches the status of the host, or returns `None` if the request fails.
    pub fn status(&self) -> Option<Status> {
        status::fetch_status(&self.process().caller_address, OPERATOR_KEY).ok()
    }

    /// Kills the process, if it is running, and waits for its exit.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill();
        }
    }
}

/// A running fleet and its stand-ins.
pub struct Fleet {
    /// The platform's stand-in.
    pub platform_standin: Platform,
    /// Client of the platform that bypasses the proxies.
    pub platform_client: PlatformClient,
    /// The engine of `model@1`, the stable version.
    pub stable_engine: Engine,
    /// Address of the stable version's engine, which bypasses the proxy.
    pub stable_address: String,
    /// The engine of `model@2`, the canary version.
    pub canary_engine: Engine,
    /// The stand-in for a plain service.
    pub service: Service,
    /// Proxy from the routers to the engine of `model@1`.
    pub stable_proxy: Proxy,
    /// Proxy from the routers to the plain service.
    pub service_proxy: Proxy,
    /// The hosts, including those that are down.
    pub hosts: Vec<Host>,
    /// Objects that [`Fleet::apply`] writes to the platform.
    pub declared: DeclaredObjects,
    platform_address: String,
    rater_address: String,
    binary: PathBuf,
    dir: PathBuf,
    options: FleetOptions,
    _servers: Vec<RunningServer>,
}

fn key_ring() -> KeyRing {
    let key = Key { id: "k1".into(), secret: "a secret for tests only".into() };
    KeyRing { current: key, previous: None }
}

fn declarations(stable: &str, canary: &str, service: &str, options: &FleetOptions) -> String {
    let (requests_per_second, extra_declarations) =
        (options.requests_per_second, &options.extra_declarations);
    let digest = digest(KEY.as_bytes());
    format!(
        r#"
[pool.old-pool]
endpoints = {{ old = {{ address = "{stable}", failure_domain = "d0" }} }}
[pool.new-pool]
endpoints = {{ new = {{ address = "{canary}", failure_domain = "d1" }} }}
[version."model@1"]
pool = "old-pool"
price_in = 1000
price_out = 1000
[version."model@2"]
pool = "new-pool"
price_in = 1000
price_out = 1000
[model.model]
serving = "model@1"
[workspace.caller]
key_digests = ["{digest}"]
allow = ["model@1", "model@2"]
requests_per_second = {requests_per_second:.1}
[service.vault]
once = ["POST /grant"]
workspaces = ["caller"]
endpoints = {{ vault = {{ address = "{service}", failure_domain = "d0" }} }}
[policy.chat]
program = '"model"'
fallback = ["model"]
[rollout.to-2]
from = "model@1"
to = "model@2"
stale_ms = 5000
[[rollout.to-2.stages]]
share = 0.5
cap = 12
judged = 1000
[keyring.fleet.current]
id = "k1"
secret = "a secret for tests only"
{extra_declarations}
"#
    )
}

impl Fleet {
    /// Starts a fleet of `binary` processes and waits until it has converged.
    pub fn start(binary: &Path, options: FleetOptions) -> Result<Fleet> {
        let platform_standin = Platform::default();
        let platform_server = platform_standin.serve("127.0.0.1:0")?;
        let engine = |version: &str, quality: f64| {
            let version = version.to_string();
            Engine::new(EngineOptions { version, quality, ..options.engine.clone() })
        };
        let stable_engine = engine("model@1", options.engine.quality);
        let canary_engine = engine("model@2", options.canary_quality);
        let service = Service::default();
        let servers = [
            stable_engine.serve("127.0.0.1:0")?,
            canary_engine.serve("127.0.0.1:0")?,
            service.serve("127.0.0.1:0")?,
            Rater::default().serve("127.0.0.1:0")?,
        ];
        let stable_proxy = Proxy::with_target(&servers[0].address())?;
        let service_proxy = Proxy::with_target(&servers[2].address())?;
        let text = declarations(
            &stable_proxy.address(),
            &servers[1].address(),
            &service_proxy.address(),
            &options,
        );
        let declared =
            read_folder(&[("fleet.toml".to_string(), text)]).map_err(|f| anyhow!("{f:?}"))?;
        let mut fleet = Fleet {
            platform_client: PlatformClient::new(&platform_server.address()),
            platform_address: platform_server.address(),
            rater_address: servers[3].address(),
            platform_standin,
            stable_address: servers[0].address(),
            stable_engine,
            canary_engine,
            service,
            stable_proxy,
            service_proxy,
            hosts: Vec::new(),
            declared,
            binary: binary.to_path_buf(),
            dir: std::env::temp_dir().join(format!("tidetrack-{:016x}", rand::random::<u64>())),
            options,
            _servers: servers.into_iter().chain([platform_server]).collect(),
        };
        fleet.apply()?;
        for index in 0..fleet.options.hosts {
            fleet.add_host(index)?;
        }
        fleet.publish_hosts();
        fleet.wait_until_converged();
        Ok(fleet)
    }

    /// Applies the declared objects to the platform. Returns the first write that failed.
    pub fn apply(&self) -> Result<()> {
        let lines = apply::diff(&self.platform_client, &self.declared, false)?;
        match apply::apply(&self.platform_client, &lines, &mut |_, _| {}).first_failure() {
            Some(e) => Err(e.into()),
            None => Ok(()),
        }
    }

    fn add_host(&mut self, index: usize) -> Result<()> {
        let platform_proxy = Proxy::with_target(&self.platform_address)?;
        let (peer_proxy, caller_proxy) = (Proxy::start()?, Proxy::start()?);
        let uses_proxies = !self.options.bypasses_proxies;
        let settings = Settings {
            host: format!("host-{index}").parse()?,
            failure_domain: format!("d{}", index % self.options.domains).parse()?,
            caller_address: "127.0.0.1:0".into(),
            peer_address: "127.0.0.1:0".into(),
            advertised_caller_address: uses_proxies.then(|| caller_proxy.address()),
            advertised_peer_address: uses_proxies.then(|| peer_proxy.address()),
            platform_address: match uses_proxies {
                true => platform_proxy.address(),
                false => self.platform_address.clone(),
            },
            rating_address: Some(self.rater_address.clone()),
            peer_keys: key_ring(),
            operator_key_digest: digest(OPERATOR_KEY.as_bytes()),
            limits: ProcessLimits { threads: self.options.threads, ..ProcessLimits::default() },
            times: self.options.times.clone(),
            control: self.options.control.clone(),
            suspects: SuspectOptions::default(),
            log_level: "info".into(),
        };
        self.hosts.push(Host { process: None, platform_proxy, peer_proxy, caller_proxy, settings });
        self.start_host(index)
    }

    /// Starts the process of a host and points the host's proxies at it.
    pub fn start_host(&mut self, index: usize) -> Result<()> {
        let host = &mut self.hosts[index];
        let process = RouterProcess::start(&self.binary, &host.settings, &self.dir)?;
        host.peer_proxy.set_target(&process.peer_address);
        host.caller_proxy.set_target(&process.caller_address);
        host.process = Some(process);
        Ok(())
    }

    /// Publishes all hosts in the platform's list.
    pub fn publish_hosts(&self) {
        let to_listed_host = |host: &Host| ListedHost {
            name: host.settings.host.to_string(),
            role: "router".into(),
            address: match self.options.bypasses_proxies {
                true => host.process().peer_address.clone(),
                false => host.peer_proxy.address(),
            },
            state: ListedState::Live,
        };
        self.platform_standin.set_hosts(self.hosts.iter().map(to_listed_host).collect());
    }

    /// Waits until every running host regards all running hosts as live and has the newest
    /// configuration revision of the fleet in force.
    pub fn wait_until_converged(&self) {
        let running_hosts: Vec<&Host> =
            self.hosts.iter().filter(|host| host.process.is_some()).collect();
        wait_for("a converged fleet", || {
            let statuses: Vec<Status> =
                running_hosts.iter().map(|host| host.status()).collect::<Option<_>>()?;
            let newest_revision = statuses.iter().map(|s| s.applied_revision).max()?;
            let is_converged = |s: &Status| {
                let live_members = s.members.iter().filter(|m| m.is_live()).count();
                s.applied_revision == newest_revision
                    && newest_revision > 0
                    && live_members == running_hosts.len()
            };
            statuses.iter().all(is_converged).then_some(())
        });
    }

    /// Waits until every running host satisfies `is_satisfied`.
    pub fn wait_for_hosts(&self, condition: &str, is_satisfied: impl Fn(&Status) -> bool) {
        for host in self.hosts.iter().filter(|host| host.process.is_some()) {
            wait_for(condition, || host.status().filter(|s| is_satisfied(s)).map(|_| ()));
        }
    }

    /// Returns the directory that contains the settings and logs of the routers.
    pub fn dir(&self) -> &Path {
        &self.dir
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.hosts.clear();
        if std::thread::panicking() {
            eprintln!("the routers' logs are in {}", self.dir.display());
        } else {
            // A directory that cannot be removed stays among the system's temporary files.
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}
