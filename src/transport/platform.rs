//! Client of the platform's instance list and object store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::{Deserialize, Serialize};

use super::http::{Client, Error};
use super::partition::Partition;
use crate::state::record::Name;

/// One instance in the platform's list, which may be out of date.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct Instance {
    /// Address of the daemon's peer listener.
    pub address: SocketAddr,
    /// Availability zone of the instance.
    pub zone: Name,
    /// Whether the platform is about to stop it.
    pub leaving: bool,
}

/// Client of the platform; clones share its connections.
#[derive(Debug, Clone)]
pub struct Platform {
    http: Client,
    base_url: String,
    timeout: Duration,
}

impl Platform {
    /// Creates a client of the platform at an address; `timeout` applies to each call.
    pub fn open(address: SocketAddr, timeout: Duration, partition: Partition) -> Self {
        Self {
            http: Client::open(partition),
            base_url: format!("http://{address}"),
            timeout,
        }
    }

    /// Fetches the list of instances, which may be out of date.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn instances(&self) -> Result<Vec<Instance>, Error> {
        let url = format!("{}/instances", self.base_url);
        let no_body: Option<&()> = None;
        self.http
            .json(Method::GET, &url, no_body, self.timeout)
            .await
    }

    /// Fetches an object.
    ///
    /// # Errors
    /// [`Error::Status`] with 404 if the object does not exist; otherwise see [`Error`].
    pub async fn get_object(&self, name: &str) -> Result<Bytes, Error> {
        let url = format!("{}/objects/{name}", self.base_url);
        let no_body: Option<&()> = None;
        self.http
            .bytes(Method::GET, &url, no_body, self.timeout)
            .await
    }

    /// Stores a value as a JSON object.
    ///
    /// # Errors
    /// Any [`Error`]; unless [`Error::not_sent`], the object may have been stored.
    pub async fn put_object<T: Serialize>(&self, name: &str, value: &T) -> Result<(), Error> {
        let url = format!("{}/objects/{name}", self.base_url);
        self.http
            .bytes(Method::PUT, &url, Some(value), self.timeout)
            .await
            .map(drop)
    }
}
