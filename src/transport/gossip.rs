//! Datagrams between daemons; a lost one costs nothing but its news.

use std::net::SocketAddr;

use displaydoc::Display;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::UdpSocket;

/// Largest datagram, in bytes.
pub const MAX_BYTES: usize = 32 << 10;

/// Why a datagram was not sent or read.
#[derive(Debug, Display)]
pub enum Error {
    /// socket failed: {0}
    Socket(std::io::Error),
    /// message of {0} bytes is too long
    TooLong(usize),
    /// message cannot be read: {0}
    Codec(serde_json::Error),
}

impl std::error::Error for Error {}

/// A bound socket.
#[derive(Debug)]
pub struct Socket {
    socket: UdpSocket,
}

impl Socket {
    /// Binds an address.
    ///
    /// # Errors
    /// [`Error::Socket`].
    pub async fn bind(address: SocketAddr) -> Result<Self, Error> {
        let socket = UdpSocket::bind(address).await.map_err(Error::Socket)?;
        Ok(Self { socket })
    }

    /// Address that was bound.
    ///
    /// # Errors
    /// [`Error::Socket`].
    pub fn address(&self) -> Result<SocketAddr, Error> {
        self.socket.local_addr().map_err(Error::Socket)
    }

    /// Sends a message without waiting; a full socket drops it.
    ///
    /// # Errors
    /// Any [`Error`].
    pub fn send<T: Serialize>(&self, message: &T, to: SocketAddr) -> Result<(), Error> {
        let bytes = serde_json::to_vec(message).map_err(Error::Codec)?;
        if bytes.len() > MAX_BYTES {
            return Err(Error::TooLong(bytes.len()));
        }
        let sent = self.socket.try_send_to(&bytes, to);
        sent.map(drop).map_err(Error::Socket)
    }

    /// Waits for the next message.
    ///
    /// # Errors
    /// Any [`Error`]; the socket stays usable.
    pub async fn receive<T: DeserializeOwned>(
        &self,
        buffer: &mut [u8],
    ) -> Result<(T, SocketAddr), Error> {
        let (length, from) = self.socket.recv_from(buffer).await.map_err(Error::Socket)?;
        let message = serde_json::from_slice(&buffer[..length]).map_err(Error::Codec)?;
        Ok((message, from))
    }
}
