//! Gateways as processes, started with the command and the variables of the deploy file.

use std::fs::File;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Connection;

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent has ended.
const PARENT_DEATH_SIGNAL: i32 = 1;
const SIGKILL: u64 = 9;

/// A gateway, which is killed when this value is dropped.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    log: PathBuf,
    child: Child,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    listener.local_addr().expect("the listener has an address")
}

impl Gateway {
    /// Starts a gateway on free ports. Another program may take a port before the gateway does; it is
    /// then started again on others.
    pub fn start(name: &str, zone: &str, store: SocketAddr, folder: &str) -> Self {
        loop {
            let mut gateway = Self::spawn(name, zone, store, folder);
            loop {
                if TcpStream::connect(gateway.ready).is_ok() {
                    return gateway;
                }
                if !matches!(gateway.child.try_wait(), Ok(None)) {
                    break;
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        }
    }

    fn spawn(name: &str, zone: &str, store: SocketAddr, folder: &str) -> Self {
        let (front, ready, peer) = (free_address(), free_address(), free_address());
        let log = PathBuf::from(folder).join(format!("{name}.log"));
        let output = File::create(&log).expect("the log can be created");
        let errors = output.try_clone().expect("the log can be shared");
        let mut command = Command::new("target/release/yuccapassd");
        // No process outlives the test, however that ends. The call is safe between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PARENT_DEATH_SIGNAL, SIGKILL);
                Ok(())
            })
        };
        let child = command
            .arg("gateway")
            .env_clear()
            .env("YUCCAPASS_NODE_ID", name)
            .env("YUCCAPASS_ZONE", zone)
            .env("YUCCAPASS_ZONES", "zone-a=region-a,zone-b=region-a,zone-c=region-b")
            .env("YUCCAPASS_CALLER_ADDRESS", front.to_string())
            .env("YUCCAPASS_ADMIN_ADDRESS", ready.to_string())
            .env("YUCCAPASS_PEER_ADDRESS", peer.to_string())
            .env("YUCCAPASS_PLATFORM", store.to_string())
            .env("YUCCAPASS_PLATFORM_READS_PER_S", "2000")
            .env("YUCCAPASS_PLATFORM_WRITES_PER_S", "400")
            .env("YUCCAPASS_FAIL_CLOSED", "true")
            .env("YUCCAPASS_REVOKE_BOUND_MS", "5000")
            .env("YUCCAPASS_RETRY_RATIO", "0.2")
            .env("YUCCAPASS_RETRY_SLACK", "56")
            .env("YUCCAPASS_RETRY_WINDOW_S", "10")
            .env("YUCCAPASS_STOP_LIMIT_S", "8")
            .env("YUCCAPASS_ORDER_LEASE_MS", "3000")
            .env("YUCCAPASS_WEIGHTS_BOUND_MS", "10000")
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn();
        let child = child.unwrap_or_else(|error| {
            eprintln!("the gateway cannot be started: {error}");
            std::process::exit(2)
        });
        Self { name: name.to_owned(), front, ready, log, child }
    }

    /// Waits until the readiness check succeeds.
    pub fn await_ready(&self) -> bool {
        let limit = Instant::now() + Duration::from_secs(15);
        while Instant::now() < limit {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let asking = || {
            let mut connection = Connection::open(self.ready, Duration::from_secs(1)).ok()?;
            connection.write(b"GET /readiness HTTP/1.1\r\nHost: node\r\n\r\n").ok()?;
            connection.read().ok()?
        };
        asking().is_some_and(|answer| answer.status() == 200)
    }

    /// The lines of its log with this text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let mut log = String::new();
        if let Ok(mut file) = File::open(&self.log) {
            let _ = file.read_to_string(&mut log);
        }
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
