//! A connection on which a peer can send only so many bytes.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Number of bytes that a peer may still send.
#[derive(Debug, Clone)]
pub struct Allowance {
    left: Arc<AtomicUsize>,
}

impl Default for Allowance {
    fn default() -> Self {
        Self {
            left: Arc::new(AtomicUsize::new(usize::MAX)),
        }
    }
}

impl Allowance {
    /// Sets the number of bytes that may come from now on.
    pub fn set(&self, bytes: usize) {
        self.left.store(bytes, Ordering::Relaxed);
    }

    /// Ends the limit.
    pub fn lift(&self) {
        self.set(usize::MAX);
    }

    fn take(&self, bytes: usize) -> bool {
        let take = |left: usize| left.checked_sub(bytes);
        let taken = self
            .left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        taken.is_ok()
    }
}

/// A connection that fails once its peer has sent more bytes than it may.
#[derive(Debug)]
pub struct Metered {
    stream: TcpStream,
    allowance: Allowance,
}

impl Metered {
    /// Limits a connection; without a limit until one is set.
    pub fn open(stream: TcpStream, allowance: Allowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let read = buffer.filled().len() - before;
        match self.allowance.take(read) {
            true => Poll::Ready(Ok(())),
            false => Poll::Ready(Err(io::Error::other("peer sent more than it may"))),
        }
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
