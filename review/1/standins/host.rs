//! Processes of a run: the project's hosts and the replicas. Each is ended by its handle, also if the run fails.

use std::io::{BufRead, BufReader};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::read_head;
use std::io::Write;

/// The program of the deploy file's role, from the root of the repository.
const HOST_PROGRAM: &str = "target/release/tidetrack-host";

/// Zones of the deployment.
pub const ZONES: [&str; 4] = ["bole-hall", "arada-hall", "kirkos-hall", "yeka-hall"];

/// Number of loopback addresses of a run.
pub const ADDRESSES: u32 = 64;

/// Returns the nth loopback address of this process, which no other process uses.
pub fn loopback(n: u32) -> String {
    let [_, high, mid, low] = (std::process::id() * ADDRESSES + n).to_be_bytes();
    format!("127.{}.{mid}.{low}", 96 + high % 32)
}

/// A host process with its addresses.
pub struct Host {
    child: Child,
    /// Name of the host.
    pub name: String,
    /// Address for requesters.
    pub frontend: String,
    readiness: String,
    settings: PathBuf,
    log: PathBuf,
}

/// Addresses of a host before it starts: for requesters, for readiness, for other hosts.
pub struct HostAddresses([String; 3]);

impl HostAddresses {
    /// Chooses free ports on an address of the host's own.
    pub fn choose(n: u32) -> std::io::Result<HostAddresses> {
        let ip = loopback(n);
        // All ports are held until the last one is known, so that no two are the same.
        let listener = || TcpListener::bind(format!("{ip}:0"));
        let listeners = [listener()?, listener()?, listener()?];
        let address = |l: &TcpListener| l.local_addr().map(|a| a.to_string());
        Ok(HostAddresses([
            address(&listeners[0])?,
            address(&listeners[1])?,
            address(&listeners[2])?,
        ]))
    }

    /// Returns the address for other hosts.
    pub fn peers(&self) -> &str {
        &self.0[2]
    }
}

impl Host {
    /// Starts a host with the settings of a small deployment.
    pub fn start(
        n: usize,
        addresses: HostAddresses,
        seeds: &[String],
        store: &str,
        temp: &Path,
    ) -> std::io::Result<Host> {
        let HostAddresses([frontend, readiness, peers]) = addresses;
        let (zone, ip) = (ZONES[n % ZONES.len()], frontend.split(':').next().unwrap_or_default());
        let name = format!("edge-{zone}-{}", n / ZONES.len() + 1);
        let zones: String = ZONES.iter().map(|z| format!("zones.{z}=addis-ababa\n")).collect();
        let seeds = seeds.join(",");
        let text = format!(
            "node-name={name}\nrole=host\nmachine-class=edge\nserves=edge,control_plane\nip={ip}\nzone={zone}\n\
             region=addis-ababa\n{zones}listen.frontend={frontend}\nlisten.readiness={readiness}\n\
             listen.control-plane={peers}\nseed-nodes={seeds}\nbootstrap=true\nin-tolerance=false\n\
             limits.cpu-quota=0.25\nlimits.cpu-cores=1\nlimits.memory-mb=110\nlimits.max-fds=4100\n\
             limits.link-mbps=1000.0\nlimits.disk-mb=0\ndiscovery=platform\nentry=vip\nheartbeat-ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,rollout\n\
             fault-tolerance.machines=2\nfault-tolerance.zones=0\nfault-tolerance.regions=0\n\
             bounds.seed-lag-s=3\nbounds.reuse-after-s=2\nbounds.contact-ms=3000\nbounds.ack-ms=4000\n\
             bounds.catch-up-s=4\nbounds.drain-ms=2000\nbounds.grace-s=8\nbounds.loss-slack-ms=200\n\
             bounds.config-apply-ms=2000\nbounds.rollback-slack-ms=250\nbounds.outer-ms=5000\n\
             bounds.strict-revocation=true\nbounds.revoke-ms=5000\nbounds.retry-ratio=0.9\n\
             bounds.retry-window-s=10\nbounds.retry-allowance=58\nbounds.exposure-share=0.15\n\
             bounds.exposure-allowance=30\nbounds.rollback-ms=5000\nbounds.recovery-s=12\n\
             bounds.iteration-ms=120\nbounds.retry-after-s=8.9\nbounds.session-s=5\n\
             platform.address={store}\nplatform.form=objects\nplatform.writes-per-s=400\n\
             platform.reads-per-s=2000\nplatform.history-s=20\nplatform.value-bytes=1048576\n\
             platform.ttl-min-ms=1000\n"
        );
        let (settings, log) = (temp.join(format!("{name}.conf")), temp.join(format!("{name}.log")));
        std::fs::write(&settings, text)?;
        let child = spawn(&settings, &log)?;
        Ok(Host { child, name, frontend, readiness, settings, log })
    }

    /// Waits until the host's readiness address answers 200.
    pub fn wait_ready(&self, within: Duration) -> bool {
        let deadline = Instant::now() + within;
        while Instant::now() < deadline {
            if self.is_ready().unwrap_or(false) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> Option<bool> {
        let mut stream = TcpStream::connect(&self.readiness).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        stream.write_all(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n").ok()?;
        Some(read_head(&mut BufReader::new(stream))?.status() == 200)
    }

    /// Returns the resident memory in MB of 1,048,576 bytes; `None` once the process has ended.
    pub fn memory_mb(&self) -> Option<f64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
        let kib: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kib / 1_024.0)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts a killed process again, with the same settings.
    pub fn restart(&mut self) -> std::io::Result<()> {
        self.child = spawn(&self.settings, &self.log)?;
        Ok(())
    }

    /// Returns the last line of the host's log.
    pub fn last_log_line(&self) -> String {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().last().unwrap_or("no output").to_string()
    }

    /// Returns the lines of the host's log with one of these words.
    pub fn log_lines(&self, words: &[&str]) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let has_word = |line: &&str| words.iter().any(|word| line.contains(word));
        text.lines().filter(has_word).map(str::to_string).collect()
    }
}

fn spawn(settings: &Path, log: &Path) -> std::io::Result<Child> {
    let log = || std::fs::File::options().create(true).append(true).open(log);
    Command::new(HOST_PROGRAM)
        .env("TIDETRACK_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log()?)
        .stderr(log()?)
        .spawn()
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// A replica process and what it has reported.
pub struct Replica {
    child: Child,
    /// Id under which the replica stands in the store.
    pub id: String,
    /// Address of the replica.
    pub address: String,
    reports: Arc<Mutex<Vec<String>>>,
}

impl Replica {
    /// Starts a replica of this program with the given options, and waits until it listens.
    pub fn start(id: &str, ip: &str, options: &[String]) -> std::io::Result<Replica> {
        let mut child = Command::new(std::env::current_exe()?)
            .arg("replica")
            .arg(format!("id={id}"))
            .arg(format!("ip={ip}"))
            .args(options)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let out = child.stdout.take().ok_or_else(|| std::io::Error::other("no output"))?;
        let mut lines = BufReader::new(out).lines();
        let first = lines.next().transpose()?.unwrap_or_default();
        let address = first.strip_prefix("listening ").unwrap_or_default().to_string();
        let reports = Arc::new(Mutex::new(Vec::new()));
        let sink = reports.clone();
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                sink.lock().expect("no holder of the lock panics").push(line);
            }
        });
        Ok(Replica { child, id: id.into(), address, reports })
    }

    /// Returns the lines that the replica has reported: `MS EVENT REQUEST ...`.
    pub fn reports(&self) -> Vec<String> {
        self.reports.lock().expect("no holder of the lock panics").clone()
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.kill();
    }
}
