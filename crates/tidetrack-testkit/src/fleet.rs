//! A small fleet: stand-ins in this process, routers as processes, a proxy on every link.

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

/// The workspace's key.
pub const KEY: &str = "caller-key";
/// The operators' key.
pub const OPERATOR_KEY: &str = "operator-key";

/// How a fleet is made.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Routers.
    pub hosts: usize,
    /// Failure domains that they stand in, in turn.
    pub domains: usize,
    /// The old version's engine; its version is set by the fleet.
    pub engine: EngineOptions,
    /// Quality of the new version.
    pub canary_quality: f64,
    /// Times of the routers.
    pub times: Times,
    /// Times of the routers' control state.
    pub control: NodeOptions,
    /// Threads of each router.
    pub threads: usize,
    /// Requests a second of the workspace.
    pub requests_per_second: f64,
    /// Whether hosts talk past the proxies, as measurements of bytes need.
    pub bypasses_proxies: bool,
    /// Further declarations.
    pub extra_declarations: String,
}

impl Default for FleetOptions {
    fn default() -> Self {
        FleetOptions {
            hosts: 3,
            domains: 2,
            engine: EngineOptions { token_us: 500, ..EngineOptions::default() },
            canary_quality: 0.9,
            times: Times { flush_ms: 500, grace_ms: 100, ..Times::default() },
            control: NodeOptions::default(),
            threads: 32,
            requests_per_second: 10_000.0,
            bypasses_proxies: false,
            extra_declarations: String::new(),
        }
    }
}

/// One host of a fleet with its proxies.
pub struct Host {
    /// The process; absent while it is down.
    pub process: Option<RouterProcess>,
    /// Between this host and the object API.
    pub platform_proxy: Proxy,
    /// Between other hosts and this one.
    pub peer_proxy: Proxy,
    /// Between other hosts' passed-on calls and this one.
    pub caller_proxy: Proxy,
    settings: Settings,
}

impl Host {
    /// Gets the process.
    pub fn process(&self) -> &RouterProcess {
        self.process.as_ref().expect("the host is up")
    }

    /// Gets a caller before this host.
    pub fn caller(&self) -> Caller {
        Caller { host: self.process().caller_address.clone(), key: KEY.into() }
    }

    /// Gets what the host shows of itself.
    pub fn status(&self) -> Option<Status> {
        status::fetch_status(&self.process().caller_address, OPERATOR_KEY).ok()
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill();
        }
    }
}

/// A fleet with its stand-ins.
pub struct Fleet {
    /// The platform.
    pub platform_standin: Platform,
    /// A client of the platform, past all proxies.
    pub platform_client: PlatformClient,
    /// The engine of `model@1`.
    pub stable_engine: Engine,
    /// Its address, past all proxies.
    pub stable_address: String,
    /// The engine of `model@2`.
    pub canary_engine: Engine,
    /// The plain service.
    pub service: Service,
    /// Between the routers and the engine of `model@1`.
    pub stable_proxy: Proxy,
    /// Between the routers and the plain service.
    pub service_proxy: Proxy,
    /// The hosts.
    pub hosts: Vec<Host>,
    /// What is declared.
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
    /// Starts a fleet of `binary` processes and waits until every host is ready and knows all.
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

    /// Applies what is declared.
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
            platform: match uses_proxies {
                true => platform_proxy.address(),
                false => self.platform_address.clone(),
            },
            rating: Some(self.rater_address.clone()),
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

    /// Starts a host's process, again if it was down.
    pub fn start_host(&mut self, index: usize) -> Result<()> {
        let host = &mut self.hosts[index];
        let process = RouterProcess::start(&self.binary, &host.settings, &self.dir)?;
        host.peer_proxy.set_target(&process.peer_address);
        host.caller_proxy.set_target(&process.caller_address);
        host.process = Some(process);
        Ok(())
    }

    /// Puts all hosts on the platform's list.
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

    /// Waits until every running host is ready, knows all the others, and has the newest.
    pub fn wait_until_converged(&self) {
        let running_hosts: Vec<&Host> =
            self.hosts.iter().filter(|host| host.process.is_some()).collect();
        wait_for("a whole fleet", || {
            let statuses: Vec<Status> =
                running_hosts.iter().map(|host| host.status()).collect::<Option<_>>()?;
            let newest_revision = statuses.iter().map(|s| s.in_force).max()?;
            let is_converged = |s: &Status| {
                let live_members = s.members.iter().filter(|m| m.is_live()).count();
                s.in_force == newest_revision
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

    /// Gets the folder of settings and logs.
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
            // A folder that cannot be removed is one of the system's temporary ones.
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}
