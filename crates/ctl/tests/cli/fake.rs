//! A server that gives one answer and keeps the request.

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    task::JoinHandle,
};

const END_OF_HEAD: &str = "\r\n\r\n";

/// A server that gives one answer and keeps the request.
pub(crate) struct Fake {
    /// The address of the server.
    pub(crate) url: String,
    request: JoinHandle<String>,
}

impl Fake {
    /// Starts a server that answers with a status, a type and a body.
    pub(crate) async fn answer(status: u16, content_type: &str, body: &str) -> Self {
        let len = body.len();
        Self::raw(format!(
            "HTTP/1.1 {status} Status\r\ncontent-type: {content_type}\r\ncontent-length: {len}\r\n\
             connection: close{END_OF_HEAD}{body}"
        ))
        .await
    }

    /// Starts a server that answers with these bytes and closes the connection.
    pub(crate) async fn raw(answer: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("the socket is bound");
        let request = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a client connects");
            let request = read(&mut stream).await;
            let sent = stream.write_all(answer.as_bytes()).await;
            sent.expect("the client reads");
            request
        });
        let url = format!("http://{address}");
        Self { url, request }
    }

    /// Returns the request as it came.
    pub(crate) async fn request(self) -> String {
        self.request.await.expect("a request came")
    }
}

async fn read(stream: &mut TcpStream) -> String {
    let mut request = String::new();
    let mut buffer = [0; 4_096];
    while !is_whole(&request) {
        let count = stream.read(&mut buffer).await.expect("the client sends");
        assert!(count > 0, "the client closed early: {request}");
        request.push_str(&String::from_utf8_lossy(&buffer[..count]));
    }
    request
}

fn is_whole(request: &str) -> bool {
    let Some((head, body)) = request.split_once(END_OF_HEAD) else {
        return false;
    };
    let head = head.to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    body.len() >= length
}
