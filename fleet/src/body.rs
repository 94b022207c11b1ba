//! Reads bodies of requests within the memory for clients.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;

use hyper::Request;
use hyper::body::{Body, Incoming};
use oriolewall::client_budget::Reason;
use thiserror::Error;

use crate::clients::Connection;

/// Memory for the first bytes of a body without a declared length.
const FIRST_BYTES: usize = 4096;

/// Why a body was not read to its end. Nothing of its request has been carried out.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum Error {
    #[error("the body is too long")]
    TooLarge,
    #[error("the body was cut short")]
    Cut,
    #[error("the connection is to be closed")]
    Closed(Reason),
}

/// Limits on the body of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Maximum length, bytes.
    pub(crate) bytes: usize,
    /// Number of times that the content of the body is held until the response is ready, as bytes
    /// or decoded.
    pub(crate) copies: usize,
}

/// Reads the body of a request, after its declared length or else in growing steps. Its memory is
/// charged before it is used, and returned when the response is ready.
pub(crate) async fn read(request: Request<Incoming>, limits: Limits) -> Result<Vec<u8>, Error> {
    let connection = request.extensions().get::<Arc<Connection>>().cloned();
    let connection = connection.expect("the listener adds the connection to each request");
    let result = read_body(&connection, request.into_body(), limits).await;
    match result {
        Err(Error::TooLarge) => connection.record_closed(Reason::BodyLarge),
        Err(Error::Closed(reason)) => connection.record_closed(reason),
        Err(Error::Cut) | Ok(_) => {}
    }
    result
}

async fn read_body(connection: &Connection, mut body: Incoming, limits: Limits) -> Result<Vec<u8>, Error> {
    let declared = body.size_hint().exact();
    if declared.is_some_and(|it| it > limits.bytes as u64) {
        return Err(Error::TooLarge);
    }
    let mut bytes = Vec::new();
    connection.record_body();
    let first = declared.map_or(FIRST_BYTES.min(limits.bytes), |it| it as usize);
    grow(connection, &mut bytes, first, limits).await?;
    loop {
        let frame = poll_fn(|cx| match connection.closing() {
            Some(reason) => Poll::Ready(Err(Error::Closed(reason))),
            None => Pin::new(&mut body).poll_frame(cx).map(Ok),
        });
        let Some(frame) = frame.await? else {
            break;
        };
        // Trailers are not used.
        let Ok(data) = frame.map_err(|_| Error::Cut)?.into_data() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if limits.bytes < length {
            return Err(Error::TooLarge);
        }
        while bytes.capacity() < length {
            let more = bytes.capacity().clamp(1, limits.bytes - bytes.capacity());
            grow(connection, &mut bytes, more, limits).await?;
        }
        // The data is part of a buffer of the connection, which it would keep from being used again.
        bytes.extend_from_slice(&data);
    }
    connection.record_complete().map_err(Error::Closed)?;
    Ok(bytes)
}

/// Gets memory for more bytes.
async fn grow(connection: &Connection, bytes: &mut Vec<u8>, more: usize, limits: Limits) -> Result<(), Error> {
    if more != 0 {
        connection.charge(more * limits.copies).await.map_err(Error::Closed)?;
        bytes.reserve_exact(bytes.capacity() + more - bytes.len());
    }
    Ok(())
}
