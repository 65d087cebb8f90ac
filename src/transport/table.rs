//! Client of the platform's transactional table, through the etcd v3 JSON gateway.

use std::net::SocketAddr;
use std::time::Duration;

use ::http::Method;
use displaydoc::Display;

use super::http;
use super::partition::Partition;
use crate::protocol::table::{Commit, Row, Transaction, encode, range_end, wire};

/// Error of a call to the table.
#[derive(Debug, Display)]
pub enum Error {
    /// table is unavailable, nothing was written: {0}
    Unavailable(http::Error),
    /// outcome is unknown, the write may have been applied: {0}
    Unknown(http::Error),
}

impl std::error::Error for Error {}

/// Client of the table; clones share its connections.
#[derive(Debug, Clone)]
pub struct Client {
    http: http::Client,
    base_url: String,
    timeout: Duration,
}

impl Client {
    /// Creates a client of the table at an address; `timeout` applies to each call.
    pub fn open(address: SocketAddr, timeout: Duration, partition: Partition) -> Self {
        Self {
            http: http::Client::open(partition),
            base_url: format!("http://{address}"),
            timeout,
        }
    }

    /// Reads one row.
    ///
    /// # Errors
    /// [`Error::Unavailable`].
    pub async fn read(&self, key: &str) -> Result<Option<Row>, Error> {
        let rows = self.fetch_range(key.as_bytes(), &[]).await?;
        Ok(rows.into_iter().next())
    }

    /// Reads all rows whose key has a prefix, in key order, at one revision.
    ///
    /// # Errors
    /// [`Error::Unavailable`].
    pub async fn scan(&self, prefix: &str) -> Result<Vec<Row>, Error> {
        self.fetch_range(prefix.as_bytes(), &range_end(prefix))
            .await
    }

    /// Reads all rows with keys in `from..to`, in key order, at one revision.
    ///
    /// # Errors
    /// [`Error::Unavailable`].
    pub async fn range(&self, from: &str, to: &str) -> Result<Vec<Row>, Error> {
        self.fetch_range(from.as_bytes(), to.as_bytes()).await
    }

    /// Commits a transaction.
    ///
    /// # Errors
    /// [`Error::Unavailable`] if nothing was written, [`Error::Unknown`] if the writes may have been applied.
    pub async fn commit(&self, transaction: &Transaction) -> Result<Commit, Error> {
        let url = format!("{}/v3/kv/txn", self.base_url);
        let body = transaction.to_wire();
        let answer: wire::TxnResponse = self
            .http
            .json(Method::POST, &url, Some(&body), self.timeout)
            .await
            .map_err(write_error)?;
        if !answer.succeeded {
            return Ok(Commit::Conflict);
        }
        match answer.header.revision.parse() {
            Ok(version) => Ok(Commit::Applied { version }),
            Err(_) => Err(Error::Unknown(http::Error::Malformed(
                "revision is not a number".into(),
            ))),
        }
    }

    async fn fetch_range(&self, key: &[u8], end: &[u8]) -> Result<Vec<Row>, Error> {
        let url = format!("{}/v3/kv/range", self.base_url);
        let body = wire::RangeRequest {
            key: encode(key),
            range_end: encode(end),
        };
        let answer: wire::RangeResponse = self
            .http
            .json(Method::POST, &url, Some(&body), self.timeout)
            .await
            .map_err(Error::Unavailable)?;
        let rows: Option<Vec<Row>> = answer.kvs.iter().map(Row::from_wire).collect();
        rows.ok_or_else(|| Error::Unavailable(http::Error::Malformed("row".into())))
    }
}

fn write_error(error: http::Error) -> Error {
    match error {
        http::Error::NotSent | http::Error::Request(_) => Error::Unavailable(error),
        http::Error::Status(status) if status.as_u16() == 429 => Error::Unavailable(error),
        _ => Error::Unknown(error),
    }
}
