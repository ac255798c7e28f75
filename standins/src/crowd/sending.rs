//! What a caller of a crowd sends.

use std::io::{self, Write};
use std::thread;
use std::time::Duration;

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// In chunks; each piece is one chunk.
    Chunks,
    /// By a length that the head announces.
    Length,
}

/// A request head, and a body that may stop short of its end.
#[derive(Clone, Debug)]
pub struct Sending {
    body_bytes: u64,
    framing: Framing,
    head: String,
    pause_ms: u64,
    piece_bytes: usize,
    pieces_in_write: usize,
    sent_bytes: u64,
}

impl Sending {
    /// Describes a request without a body; each line of the head ends with CRLF, and the empty line
    /// after it is left out.
    pub fn new(head: &str, framing: Framing) -> Self {
        Self {
            body_bytes: 0,
            framing,
            head: head.to_owned(),
            pause_ms: 0,
            piece_bytes: 65_536,
            pieces_in_write: 1,
            sent_bytes: 0,
        }
    }

    /// Sets the length of the body, and sends all of it.
    pub fn body_bytes(mut self, bytes: u64) -> Self {
        self.body_bytes = bytes;
        self.sent_bytes = bytes;
        self
    }

    /// Sets how much of the body is sent.
    pub fn sent_bytes(mut self, bytes: u64) -> Self {
        self.sent_bytes = bytes;
        self
    }

    /// Sets the length of a piece of the body.
    pub fn piece_bytes(mut self, bytes: usize) -> Self {
        self.piece_bytes = bytes;
        self
    }

    /// Sets how many pieces are written at once.
    pub fn pieces_in_write(mut self, count: usize) -> Self {
        self.pieces_in_write = count;
        self
    }

    /// Sets the pause after each write, in milliseconds.
    pub fn pause_ms(mut self, pause_ms: u64) -> Self {
        self.pause_ms = pause_ms;
        self
    }

    /// Writes the request, or as much of it as is sent.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is closed or takes no more bytes.
    pub fn write_to<W>(&self, connection: &mut W) -> io::Result<()>
    where
        W: Write,
    {
        connection.write_all(self.full_head().as_bytes())?;
        let piece = self.piece().repeat(self.pieces_in_write);
        let written_bytes = (self.piece_bytes * self.pieces_in_write) as u64;
        for _ in 0..self.sent_bytes / written_bytes {
            connection.write_all(&piece)?;
            thread::sleep(Duration::from_millis(self.pause_ms));
        }
        let rest = vec![b'a'; (self.sent_bytes % written_bytes) as usize];
        self.write_rest(connection, &rest)
    }

    fn full_head(&self) -> String {
        let framing = match self.framing {
            Framing::Chunks => "Transfer-Encoding: chunked".to_owned(),
            Framing::Length => format!("Content-Length: {}", self.body_bytes),
        };
        format!("{}{framing}\r\n\r\n", self.head)
    }

    fn piece(&self) -> Vec<u8> {
        let data = vec![b'a'; self.piece_bytes];
        match self.framing {
            Framing::Chunks => chunk(&data),
            Framing::Length => data,
        }
    }

    fn write_rest<W>(&self, connection: &mut W, rest: &[u8]) -> io::Result<()>
    where
        W: Write,
    {
        if self.framing == Framing::Length {
            return connection.write_all(rest);
        }
        if !rest.is_empty() {
            connection.write_all(&chunk(rest))?;
        }
        if self.sent_bytes == self.body_bytes {
            connection.write_all(b"0\r\n\r\n")?;
        }
        Ok(())
    }
}

fn chunk(data: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
    chunk.extend_from_slice(data);
    chunk.extend_from_slice(b"\r\n");
    chunk
}
