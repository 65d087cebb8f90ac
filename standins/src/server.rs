//! HTTP server for stand-ins that can be stopped abruptly and started again on the same port.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, JoinSet};

/// Response body.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Handles one request whose body has been read.
pub type Handler = Arc<dyn Fn(Request<Bytes>) -> BoxFuture<'static, Response<Body>> + Send + Sync>;

/// A running server; dropping it stops it.
pub struct Server {
    /// Listen address.
    pub address: SocketAddr,
    handler: Handler,
    accept_task: Mutex<AbortHandle>,
}

impl Server {
    /// Starts a server on a free loopback port.
    ///
    /// # Errors
    /// Returns an error if the listener cannot be bound.
    pub async fn bind(handler: Handler) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let accept_task = Mutex::new(spawn_accept_loop(listener, handler.clone()));
        Ok(Self {
            address,
            handler,
            accept_task,
        })
    }

    /// Closes the listener and aborts every connection.
    pub fn stop(&self) {
        self.accept_task.lock().abort();
    }

    /// Listens again on the same port.
    ///
    /// # Errors
    /// Returns an error if the listener cannot be bound.
    pub async fn resume(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        *self.accept_task.lock() = spawn_accept_loop(listener, self.handler.clone());
        Ok(())
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

fn spawn_accept_loop(listener: TcpListener, handler: Handler) -> AbortHandle {
    let accept_task = async move {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            let service = service_fn(move |request| handle(handler.clone(), request));
            connections.spawn(async move {
                let connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                let _ = connection.await;
            });
            while connections.try_join_next().is_some() {}
        }
    };
    tokio::spawn(accept_task).abort_handle()
}

async fn handle(
    handler: Handler,
    request: Request<Incoming>,
) -> Result<Response<Body>, hyper::Error> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok(handler(Request::from_parts(parts, body)).await)
}

/// Builds a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let mut response = bytes(status, serde_json::to_vec(value).unwrap_or_default().into());
    let content_type = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert("content-type", content_type);
    response
}

/// Builds a response with a body of bytes.
pub fn bytes(status: StatusCode, body: Bytes) -> Response<Body> {
    let body = Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Builds a response of server-sent events; an error in the stream aborts the connection.
pub fn events<S>(stream: S) -> Response<Body>
where
    S: futures::Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    let frames = futures::StreamExt::map(stream, |chunk| chunk.map(Frame::data));
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
    let content_type = http::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert("content-type", content_type);
    response
}
