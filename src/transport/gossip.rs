//! Datagrams between daemons, without acknowledgement or retransmission: a lost one costs only its information.

use std::net::SocketAddr;

use displaydoc::Display;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::UdpSocket;

/// Maximum size of a datagram, in bytes.
pub const MAX_BYTES: usize = 32 << 10;

/// Error when sending or receiving a datagram.
#[derive(Debug, Display)]
pub enum Error {
    /// socket failed: {0}
    Socket(std::io::Error),
    /// message of {0} bytes is too large
    TooLong(usize),
    /// message cannot be encoded or decoded: {0}
    Codec(serde_json::Error),
}

impl std::error::Error for Error {}

/// Encodes a message.
///
/// # Errors
/// [`Error::Codec`], or [`Error::TooLong`] if it does not fit a datagram.
///
/// ```
/// use persimmoncroft::transport::gossip::encode;
/// assert_eq!(encode(&[1, 2]).unwrap(), b"[1,2]");
/// ```
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, Error> {
    let bytes = serde_json::to_vec(message).map_err(Error::Codec)?;
    match bytes.len() > MAX_BYTES {
        true => Err(Error::TooLong(bytes.len())),
        false => Ok(bytes),
    }
}

/// A bound UDP socket for JSON messages.
#[derive(Debug)]
pub struct Socket {
    socket: UdpSocket,
}

impl Socket {
    /// Binds a socket to an address.
    ///
    /// # Errors
    /// [`Error::Socket`].
    pub async fn bind(address: SocketAddr) -> Result<Self, Error> {
        let socket = UdpSocket::bind(address).await.map_err(Error::Socket)?;
        Ok(Self { socket })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    /// [`Error::Socket`].
    pub fn address(&self) -> Result<SocketAddr, Error> {
        self.socket.local_addr().map_err(Error::Socket)
    }

    /// Sends an encoded message without waiting; it is lost if the send buffer is full.
    ///
    /// # Errors
    /// [`Error::Socket`], also if the send buffer is full.
    pub fn send(&self, message: &[u8], to: SocketAddr) -> Result<(), Error> {
        let sent = self.socket.try_send_to(message, to);
        sent.map(drop).map_err(Error::Socket)
    }

    /// Receives the next message; `buffer` must hold a whole datagram.
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
