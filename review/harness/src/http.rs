//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A message with its complete body.
#[derive(Debug, Clone)]
pub struct Message {
    /// The request or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// The path and query of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// A parameter of the query. Only the escapes of `/` and `:` occur here.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pair = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
        Some(pair.replace("%2F", "/").replace("%3A", ":"))
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or_default()
    }
}

/// A connection with the bytes that were read and not used.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads a message; `None` if the connection ends before it.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let cut = || io::Error::from(io::ErrorKind::UnexpectedEof);
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break at + 4;
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(cut()) };
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n").filter(|line| !line.is_empty());
        let line = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        let mut message = Message { line, headers, body: Vec::new() };
        let is_chunked =
            message.header("transfer-encoding").is_some_and(|coding| coding.contains("chunked"));
        if is_chunked {
            while let Some(chunk) = self.chunk()? {
                message.body.extend(chunk);
            }
            return Ok(Some(message));
        }
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        message.body = self.take(length.unwrap_or(0))?;
        Ok(Some(message))
    }

    fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
        let text = String::from_utf8_lossy(&line[..end]).into_owned();
        let size = usize::from_str_radix(text.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut bytes = self.take(size + 2)?;
        bytes.truncate(size);
        Ok((size > 0).then_some(bytes))
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    pub fn write(&mut self, text: &[u8]) -> io::Result<()> {
        self.stream.write_all(text)
    }
}

/// Encodes an answer with a length.
pub fn answer(status: u16, headers: &str, body: &str) -> Vec<u8> {
    let reason = if status < 300 { "OK" } else { "Other" };
    let length = body.len();
    format!("HTTP/1.1 {status} {reason}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// Accepts connections on a free port of the loopback address; each gets a thread.
pub fn listen<F: Fn(Connection) + Send + Sync + 'static>(serve: F) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(Connection::new(stream)));
        }
    });
    address
}
