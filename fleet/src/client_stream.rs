//! Stream of a client's connection that reports progress to the [`Connection`].

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::clients::Connection;

#[derive(Debug)]
pub(crate) struct ClientStream {
    inner: TcpStream,
    connection: Arc<Connection>,
    is_write_blocked: bool,
}

impl ClientStream {
    pub(crate) fn new(inner: TcpStream, connection: Arc<Connection>) -> ClientStream {
        ClientStream {
            inner,
            connection,
            is_write_blocked: false,
        }
    }

    /// Reports a change of whether the client takes what is written.
    fn observe_write<T>(&mut self, result: Poll<T>) -> Poll<T> {
        if result.is_pending() != self.is_write_blocked {
            self.is_write_blocked = result.is_pending();
            self.connection.record_write_blocked(self.is_write_blocked);
        }
        result
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(cx, buffer);
        let received = buffer.filled().len() - before;
        if received != 0 {
            self.connection.record_received(received);
        }
        result
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(cx, buffer);
        self.observe_write(result)
    }

    fn poll_write_vectored(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buffers: &[IoSlice<'_>]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write_vectored(cx, buffers);
        self.observe_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
