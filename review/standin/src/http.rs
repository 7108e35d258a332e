//! A minimal HTTP/1.1 server and client over blocking sockets.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// A request as received.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a parameter of the query.
    pub fn param(&self, name: &str) -> Option<&str> {
        self.query.get(name).map(String::as_str)
    }

    /// Returns a whole number from the query.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.param(name)?.parse().ok()
    }
}

/// What a server does with a request.
pub enum Answer {
    /// A response with this status and body.
    Body(u16, Vec<u8>),
    /// The connection is closed without a response.
    Close,
}

impl Answer {
    /// A response with a JSON body.
    pub fn json(status: u16, body: String) -> Self {
        Self::Body(status, body.into_bytes())
    }
}

/// Serves requests on a loopback port that the system chooses. At most `max_connections` are served at once; others
/// wait in the queue of the listener.
pub fn serve(
    max_connections: usize,
    handler: impl Fn(Request) -> Answer + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    let open = Arc::new(AtomicUsize::new(0));
    thread::spawn(move || {
        loop {
            while open.load(Ordering::SeqCst) >= max_connections {
                thread::sleep(Duration::from_millis(1));
            }
            let Ok((stream, _)) = listener.accept() else {
                return;
            };
            open.fetch_add(1, Ordering::SeqCst);
            let (handler, open) = (handler.clone(), open.clone());
            thread::spawn(move || {
                // A connection ends when the peer closes it.
                let _ = serve_connection(stream, &*handler);
                open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    Ok(address)
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Answer) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        match handler(request) {
            Answer::Body(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                let mut response = head.into_bytes();
                response.extend(body);
                writer.write_all(&response)?;
            }
            Answer::Close => return Ok(()),
        }
    }
    Ok(())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    while let Some(line) = read_line(reader)? {
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    Ok(headers)
}

fn read_body(reader: &mut impl Read, headers: &BTreeMap<String, String>) -> io::Result<Vec<u8>> {
    let length = headers.get("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), unescape(value)));
    let (path, query) = (path.to_owned(), query.collect());
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Ok(Some(Request {
        method,
        path,
        query,
        headers,
        body,
    }))
}

/// Decodes the percent escapes of a query value.
fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let digits = after.get(..2).filter(|_| *first == b'%');
        let digits = digits.and_then(|digits| std::str::from_utf8(digits).ok());
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            None => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends one request on a connection of its own; returns the status and the body.
///
/// # Errors
///
/// Fails if no whole response arrives within the time limit of each socket call.
pub fn call(
    to: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    let stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut writer = stream.try_clone()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         X-Deadline-Ms: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    writer.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let line = read_line(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let headers = read_headers(&mut reader)?;
    let body = read_body(&mut reader, &headers)?;
    Ok((status, body))
}
