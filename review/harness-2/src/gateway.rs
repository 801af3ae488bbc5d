//! Gateways as separate processes, with the command and the variables of the deploy file.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, Peer, free_address};
use crate::record::Record;

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Notes a process that was started.
pub fn note_started(id: u32) {
    STARTED.lock().expect("no thread fails with the lock").push(id);
}

/// Notes a process that has ended and was waited for.
pub fn note_ended(id: u32) {
    STARTED.lock().expect("no thread fails with the lock").retain(|known| *known != id);
}

/// Kills the processes that are left, if a case did not end by itself.
pub fn kill_all_started() {
    for id in STARTED.lock().expect("no thread fails with the lock").drain(..) {
        // SAFETY: the process is a child of this one that was not waited for, so its id is its own.
        unsafe { kill(id as i32, SIGKILL) };
    }
}

/// A gateway; its process is killed when this is dropped.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    process: Child,
    record: Arc<Record>,
}

impl Gateway {
    /// Starts a gateway. Its output goes to a file in `folder`.
    pub fn start(
        name: &str,
        zone: &str,
        store: SocketAddr,
        folder: &Path,
        record: &Arc<Record>,
    ) -> std::io::Result<Self> {
        let (callers, admin, peers) = (free_address(), free_address(), free_address());
        let log = std::fs::File::create(folder.join(format!("{name}.log")))?;
        // The bounds, limits and contracts are those of the small site `mhsa-yuccapass`.
        let contracts =
            "base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,places,platform";
        let process = Command::new("target/release/yuccapassd")
            .arg("gateway")
            .env_clear()
            .envs(std::env::vars().filter(|(name, _)| matches!(name.as_str(), "PATH" | "HOME")))
            .env("YUCCAPASS_NODE_ID", name)
            .env("YUCCAPASS_ZONE", zone)
            .env("YUCCAPASS_ZONES", "brum-jq=west-mids,notts-lace=east-mids,wolves-ring=west-mids")
            .env("YUCCAPASS_CALLER_ADDRESS", callers.to_string())
            .env("YUCCAPASS_ADMIN_ADDRESS", admin.to_string())
            .env("YUCCAPASS_PEER_ADDRESS", peers.to_string())
            .env("YUCCAPASS_PLATFORM", store.to_string())
            .env("YUCCAPASS_PLATFORM_READS_PER_S", "2000")
            .env("YUCCAPASS_PLATFORM_WRITES_PER_S", "400")
            .env("YUCCAPASS_FAIL_CLOSED", "true")
            .env("YUCCAPASS_REVOKE_BOUND_MS", "5000")
            .env("YUCCAPASS_APPLY_BOUND_MS", "2500")
            .env("YUCCAPASS_RETRY_RATIO", "0.2")
            .env("YUCCAPASS_RETRY_SLACK", "56")
            .env("YUCCAPASS_RETRY_WINDOW_S", "10")
            .env("YUCCAPASS_STOP_LIMIT_S", "8")
            .env("YUCCAPASS_ORDER_LEASE_MS", "3000")
            .env("YUCCAPASS_WEIGHTS_BOUND_MS", "10000")
            .env("YUCCAPASS_EXPOSE_SHARE", "")
            .env("YUCCAPASS_EXPOSE_SLACK", "")
            .env("YUCCAPASS_ROLLBACK_MS", "")
            .env("YUCCAPASS_CONTRACTS", contracts)
            .env("YUCCAPASS_MEMORY_MB", "110")
            .env("YUCCAPASS_MAX_DESCRIPTORS", "4100")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        note_started(process.id());
        record.line(format!("gateway {name} starts (process {})", process.id()));
        Ok(Self { name: name.to_owned(), callers, admin, process, record: Arc::clone(record) })
    }

    pub fn signal(&self, signal: i32) {
        self.record.line(format!("signal {signal} to gateway {}", self.name));
        // SAFETY: the process is a child of this one that was not waited for, so its id is its own.
        unsafe { kill(self.process.id() as i32, signal) };
    }

    pub fn is_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_millis(500);
        let ask = || -> Option<Message> {
            let mut peer = Peer::connect(self.admin).ok()?;
            peer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n").ok()?;
            peer.read(true, Some(deadline))
        };
        ask().is_some_and(|answer| answer.status() == 200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // It fails only if the process has ended.
        let _ = self.process.kill();
        let _ = self.process.wait();
        note_ended(self.process.id());
    }
}
