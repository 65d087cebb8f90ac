//! Listeners whose connections count in the account of what clients make the daemon hold.

use std::io;
use std::sync::Arc;

use tokio::net::{TcpListener, TcpStream};
use viz::{Body, Listener, Request, Response};

use crate::transport::account::{Account, Client, Counted, Running};

/// A listener that counts its connections.
#[derive(Debug)]
pub struct Counting {
    listener: TcpListener,
    account: Account,
}

impl Counting {
    /// Counts the connections of a listener.
    pub fn open(listener: TcpListener, account: &Account) -> Self {
        Self {
            listener,
            account: account.clone(),
        }
    }
}

/// The peer of a connection.
#[derive(Debug)]
pub struct Peer {
    client: Option<Arc<Client>>,
}

impl Listener for Counting {
    type Io = Counted<TcpStream>;
    type Addr = Peer;

    async fn accept(&self) -> io::Result<(Self::Io, Self::Addr)> {
        loop {
            let (stream, _) = self.listener.accept().await?;
            if let Some(client) = self.account.connect() {
                let stream = Counted::new(stream, client.clone());
                let client = Some(client);
                return Ok((stream, Peer { client }));
            }
        }
    }

    fn local_addr(&self) -> io::Result<Self::Addr> {
        Ok(Peer { client: None })
    }
}

/// Notes that the header section of a request has come.
pub fn begin(request: &Request) -> Option<Running> {
    let peer = request.extensions().get::<Option<Arc<Peer>>>()?.as_ref()?;
    peer.client.clone().map(Running::begin)
}

/// Ends a request with the body of its response.
pub fn until_sent(response: Response, running: Option<Running>) -> Response {
    let Some(running) = running else {
        return response;
    };
    response.map(|body| Body::wrap(running.until_sent(body)))
}
