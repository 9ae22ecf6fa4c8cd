//! Router processes: started, paused, resumed, killed and stopped by their ids.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use anyhow::{Context, Result};
use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};

use tidetrack_router::Settings;

/// Upper bound that a limit on files can be raised to again.
const HARD_FILE_LIMIT: u64 = 4_096;

/// A running router process; it is killed when dropped.
pub struct RouterProcess {
    child: Child,
    /// Where it serves callers.
    pub caller_address: String,
    /// Where it serves other hosts.
    pub peer_address: String,
    /// Its log.
    pub log_path: PathBuf,
}

impl RouterProcess {
    /// Starts `binary` with settings written into `dir`.
    pub fn start(binary: &Path, settings: &Settings, dir: &Path) -> Result<RouterProcess> {
        std::fs::create_dir_all(dir)?;
        let unique = format!("{}-{:08x}", settings.host, rand::random::<u32>());
        let settings_path = dir.join(format!("{unique}.toml"));
        std::fs::write(&settings_path, toml::to_string(settings)?)?;
        let log_path = dir.join(format!("{unique}.log"));
        let mut child = Command::new(binary)
            .arg("--settings")
            .arg(&settings_path)
            .stdout(Stdio::piped())
            .stderr(std::fs::File::create(&log_path)?)
            .spawn()
            .with_context(|| binary.display().to_string())?;
        let stdout = child.stdout.take().context("standard output")?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let fields: Vec<&str> = line.split_whitespace().collect();
        let ["callers", caller_address, "hosts", peer_address] = fields[..] else {
            anyhow::bail!("the router said {line:?}; its log is {}", log_path.display());
        };
        Ok(RouterProcess {
            caller_address: caller_address.into(),
            peer_address: peer_address.into(),
            child,
            log_path,
        })
    }

    /// Gets the process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("a process has an id above 0");
        kill_process(pid, signal).expect("the process is ours and was not waited for");
    }

    /// Stops it where it is.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks for a planned stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Ends it at once and waits until it is gone.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.child.wait().expect("the process is ours");
    }

    /// Waits for its end.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process is ours")
    }

    /// Tells whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("the process is ours").is_some()
    }

    /// Sets how many files the process may have open.
    pub fn set_file_limit(&self, max_files: u64) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("a process has an id above 0");
        let limit = Rlimit { current: Some(max_files), maximum: Some(HARD_FILE_LIMIT) };
        prlimit(Some(pid), Resource::Nofile, limit).expect("the process is ours");
    }

    /// Counts the files that the process has open.
    pub fn count_open_files(&self) -> Result<u64> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.id()))?.count() as u64)
    }

    /// Gets the processor time used so far, in ticks of 10 ms.
    pub fn cpu_ticks(&self) -> Result<u64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id()))?;
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        // utime and stime are the 14th and 15th fields; two stand before the cut.
        Ok(fields[11].parse::<u64>()? + fields[12].parse::<u64>()?)
    }

    /// Gets the resident memory in KiB.
    pub fn resident_kib(&self) -> Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()))?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:")).context("VmRSS")?;
        Ok(line.split_whitespace().nth(1).context("a number")?.parse()?)
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        if !self.has_ended() {
            self.signal(Signal::KILL);
            let _ = self.child.wait();
        }
    }
}
