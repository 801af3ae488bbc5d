//! HTTP/1.1 messages on blocking sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A message with its head split into lines.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the whole body has come.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> String {
        let pairs = self.target().split_once('?').map(|(_, query)| query).unwrap_or_default();
        let pair = pairs.split('&').filter_map(|pair| pair.split_once('='));
        let found = pair.into_iter().find(|(key, _)| *key == name);
        found.map(|(_, value)| value.replace("%2F", "/")).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read and not used.
pub struct Peer {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr) -> std::io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?))
    }

    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads more; returns `false` at the end of the connection or the deadline.
    fn fill(&mut self, deadline: Option<Instant>) -> bool {
        let left = deadline.map(|at| at.saturating_duration_since(Instant::now()));
        if left == Some(Duration::ZERO) || self.stream.set_read_timeout(left).is_err() {
            return false;
        }
        let mut part = [0; 16 << 10];
        match self.stream.read(&mut part) {
            Ok(count) if count > 0 => {
                self.buffer.extend_from_slice(&part[..count]);
                true
            }
            _ => false,
        }
    }

    /// Reads a message. `None` if the connection ends before its head is whole.
    pub fn read(&mut self, is_answer: bool, deadline: Option<Instant>) -> Option<Message> {
        let end = loop {
            let found = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
            if let Some(end) = found {
                break end + 4;
            }
            if !self.fill(deadline) {
                return None;
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let mut message =
            Message { start: lines.next().unwrap_or_default().to_owned(), ..Message::default() };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.to_owned(), value.trim().to_owned()));
            }
        }
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        let is_chunked = message.header("transfer-encoding").is_some();
        match (length, is_chunked) {
            (Some(length), _) => {
                while self.buffer.len() < length && self.fill(deadline) {}
                message.is_complete = self.buffer.len() >= length;
                message.body = self.buffer.drain(..length.min(self.buffer.len())).collect();
            }
            (None, true) => self.read_chunks(&mut message, deadline),
            (None, false) if is_answer => {
                while self.fill(deadline) {}
                message.is_complete = true;
                message.body = std::mem::take(&mut self.buffer);
            }
            (None, false) => message.is_complete = true,
        }
        Some(message)
    }

    fn read_chunks(&mut self, message: &mut Message, deadline: Option<Instant>) {
        loop {
            let Some(line_end) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") else {
                match self.fill(deadline) {
                    true => continue,
                    false => return,
                }
            };
            let line = String::from_utf8_lossy(&self.buffer[..line_end]).into_owned();
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return };
            while self.buffer.len() < line_end + 2 + size + 2 {
                if !self.fill(deadline) {
                    return;
                }
            }
            let chunk: Vec<u8> = self.buffer.drain(..line_end + 2 + size + 2).collect();
            message.body.extend_from_slice(&chunk[line_end + 2..line_end + 2 + size]);
            if size == 0 {
                message.is_complete = true;
                return;
            }
        }
    }
}

/// Serves each connection of a listener in a thread of its own, until the process ends.
pub fn serve(listener: TcpListener, handle: impl Fn(Peer) + Clone + Send + 'static) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || handle(Peer::new(stream)));
        }
    });
}

/// Binds a free loopback port.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener has an address");
    (listener, address)
}

/// Returns a loopback address on which nothing listens now. Taken below the ports that the system hands out.
pub fn free_address() -> SocketAddr {
    use std::sync::atomic::{AtomicU32, Ordering};
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id().wrapping_mul(61) + NEXT.fetch_add(1, Ordering::SeqCst);
        let port = 18_000 + (number % 13_000) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
