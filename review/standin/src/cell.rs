//! The nodes of the system as processes of their own, and the configuration that they get.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{http, store::Store};

/// The program of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/fulmarpier-platform";
/// The memory that a process may use, in kilobytes: `MemoryMb` of the settings.
pub const MEMORY_KB: u64 = 260 * 1_024;

/// A process of the system.
pub struct Node {
    name: String,
    folder: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
}

/// Returns free loopback ports.
fn free_ports(count: usize) -> io::Result<Vec<SocketAddr>> {
    let listeners: io::Result<Vec<TcpListener>> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect();
    listeners?.iter().map(TcpListener::local_addr).collect()
}

impl Node {
    /// Starts a node with the settings of the deploy file's template.
    ///
    /// # Errors
    ///
    /// Fails if the settings can't be written or the program can't be started.
    pub fn start(name: &str, root: &Path, folder: &Path, store: &Store) -> io::Result<Self> {
        let ports = free_ports(4)?;
        let settings = format!(
            "{{\"name\":\"{name}\",\"callers\":\"{}\",\"readiness\":\"{}\",\"peers\":\"{}\",\"metrics\":\"{}\",\
             \"store\":\"{}\",\"data_centres\":[\"z-a\",\"z-b\",\"z-c\"],\"grace_s\":6,\"processor_cores\":0.25,\
             \"link_mbps\":1000.0,\"descriptors\":4100,\"workers\":{{\"lease_ms\":6000,\"stop_grace_ms\":900,\
             \"gang_wait_ms\":3000,\"remote_penalty\":1.5,\"restore_ms\":250,\"checkpoint_s\":0.5}},\
             \"log_level\":\"info\"}}",
            ports[0], ports[1], ports[2], ports[3], store.address
        );
        fs::write(folder.join(format!("{name}.json")), settings)?;
        let mut node = Self {
            name: name.to_owned(),
            folder: folder.to_owned(),
            program: root.join(PROGRAM),
            child: None,
            callers: ports[0],
            readiness: ports[1],
        };
        node.run()?;
        Ok(node)
    }

    /// Starts the process; its log goes into a file.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be started.
    pub fn run(&mut self) -> io::Result<()> {
        let log = File::options()
            .append(true)
            .create(true)
            .open(self.folder.join(format!("{}.log", self.name)))?;
        let child = Command::new(&self.program)
            .env(
                "FULMARPIER_SETTINGS",
                self.folder.join(format!("{}.json", self.name)),
            )
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the memory that the process uses, in kilobytes.
    pub fn memory_kb(&self) -> u64 {
        let id = self.child.as_ref().map_or(0, Child::id);
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let value = line.and_then(|line| line.split_whitespace().nth(1));
        value.and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    /// Returns whether the node says that it is ready.
    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        let answer = http::call(self.readiness, "GET", "x", "/fulmarpier/ready", "", timeout);
        matches!(answer, Ok((200, _)))
    }

    /// Waits until the node is ready; returns whether it is.
    pub fn wait_until_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The host and the path prefix of the one queue.
pub const HOST: &str = "desk.example";
pub const PREFIX: &str = "/orders/";
/// The service that runs the queue's tasks.
pub const SERVICE: &str = "desk";

/// Writes a configuration with one queue, as the operator does.
pub fn configure(store: &Store) {
    let config = format!(
        "{{\"Version\":7,\"Routes\":[{{\"Name\":\"orders\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{PREFIX}\",\
         \"Kind\":\"unsafe\",\"TimeoutMs\":3000,\"SloMs\":1000,\"Priority\":0,\"Service\":\"{SERVICE}\",\
         \"MaxAttempts\":2,\"Stretch\":2.0}}],\"Services\":[{{\"Name\":\"{SERVICE}\",\"HealthPath\":\"/health\",\
         \"MaxConns\":64,\"Protocol\":\"h1\",\"Tls\":false,\"EnforcesCapacity\":false,\"Standby\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}"
    );
    store.put("keyed.op", "config", &config);
}

/// How long a requester waits for a response.
const DEADLINE: Duration = Duration::from_millis(3_000);

/// Sends a call about a job; returns the status and the body, or 0 if there was no response.
pub fn call_job(node: SocketAddr, method: &str, job: &str, body: &str) -> (u16, String) {
    let path = format!("{PREFIX}{job}");
    match http::call(node, method, HOST, &path, body, DEADLINE) {
        Ok((status, body)) => (status, String::from_utf8_lossy(&body).into_owned()),
        Err(_) => (0, String::new()),
    }
}
