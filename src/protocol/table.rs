//! Rows and transactions of the platform's table, and their encoding for the etcd v3 JSON gateway.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

/// One row of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Value; JSON by convention, but any bytes are valid.
    pub value: Vec<u8>,
    /// Revision of the table at the last write of the row.
    pub version: u64,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Check {
    /// No row has the key.
    Absent { key: String },
    /// The row with the key has this version.
    Version { key: String, version: u64 },
}

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Creates or replaces a row.
    Put { key: String, value: Vec<u8> },
    /// Deletes a row.
    Delete { key: String },
}

/// Writes that are applied atomically if all checks hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Conditions that must hold.
    pub checks: Vec<Check>,
    /// Writes to apply.
    pub writes: Vec<Write>,
}

/// Outcome of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Commit {
    /// All checks held; the written rows have this version.
    Applied { version: u64 },
    /// A check did not hold; nothing was written.
    Conflict,
}

/// Message bodies of the etcd v3 JSON gateway; only the subset in use.
pub mod wire {
    use super::*;

    /// Body of `POST /v3/kv/range`.
    #[derive(Debug, Default, Deserialize, Serialize)]
    #[serde(default)]
    pub struct RangeRequest {
        /// First key, base64.
        pub key: String,
        /// End of the range (exclusive), base64; empty for a single key.
        pub range_end: String,
    }

    /// A key and its value.
    #[derive(Debug, Default, Deserialize, Serialize)]
    #[serde(default)]
    pub struct KeyValue {
        /// Key, base64.
        pub key: String,
        /// Value, base64.
        pub value: String,
        /// Decimal revision of the last write.
        pub mod_revision: String,
    }

    /// Response to a range request.
    #[derive(Debug, Default, Deserialize, Serialize)]
    #[serde(default)]
    pub struct RangeResponse {
        /// Rows in key order.
        pub kvs: Vec<KeyValue>,
    }

    /// A comparison of a transaction.
    #[derive(Debug, Default, Deserialize, Serialize)]
    #[serde(default)]
    pub struct Compare {
        /// Key, base64.
        pub key: String,
        /// `EQUAL`.
        pub result: String,
        /// `MOD`.
        pub target: String,
        /// Expected revision, decimal; `0` when absent.
        pub mod_revision: String,
    }

    /// Write of one key.
    #[derive(Debug, Default, Deserialize, Serialize)]
    #[serde(default)]
    pub struct PutRequest {
        /// Key, base64.
        pub key: String,
        /// Value, base64.
        pub value: String,
    }

    /// Deletion of one key.
    #[derive(Debug, Default, Deserialize, Serialize)]
    #[serde(default)]
    pub struct DeleteRequest {
        /// Key, base64.
        pub key: String,
    }

    /// One operation of a transaction.
    #[derive(Debug, Default, Deserialize, Serialize)]
    #[serde(default)]
    pub struct RequestOp {
        /// A put, if the operation is one.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub request_put: Option<PutRequest>,
        /// A delete, if the operation is one.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub request_delete_range: Option<DeleteRequest>,
    }

    /// Body of `POST /v3/kv/txn`.
    #[derive(Debug, Default, Deserialize, Serialize)]
    #[serde(default)]
    pub struct TxnRequest {
        /// Comparisons; all must hold.
        pub compare: Vec<Compare>,
        /// Operations to apply if they hold.
        pub success: Vec<RequestOp>,
    }

    /// Header of a response.
    #[derive(Debug, Default, Deserialize, Serialize)]
    #[serde(default)]
    pub struct Header {
        /// Revision of the table, decimal.
        pub revision: String,
    }

    /// Response to a transaction.
    #[derive(Debug, Default, Deserialize, Serialize)]
    #[serde(default)]
    pub struct TxnResponse {
        /// Revision after the transaction.
        pub header: Header,
        /// Whether the comparisons held.
        pub succeeded: bool,
    }
}

/// Encodes bytes as base64, as the gateway expects keys and values.
///
/// ```
/// use persimmoncroft::protocol::table::{decode, encode};
/// assert_eq!(decode(&encode(b"seat/a/1")).unwrap(), b"seat/a/1");
/// ```
pub fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Decodes base64 from the gateway; returns `None` if the text is invalid.
pub fn decode(text: &str) -> Option<Vec<u8>> {
    STANDARD.decode(text).ok()
}

/// Returns the exclusive end of the range of all keys with a prefix.
pub fn range_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

impl Transaction {
    /// Adds a condition.
    #[must_use]
    pub fn check(mut self, check: Check) -> Self {
        self.checks.push(check);
        self
    }

    /// Adds the condition that a row is unchanged since it was read: still absent (`None`), or still of this version.
    ///
    /// ```
    /// use persimmoncroft::protocol::table::{Check, Transaction};
    /// let transaction = Transaction::default().unchanged("seat/a/1", None);
    /// assert_eq!(transaction.checks, [Check::Absent { key: "seat/a/1".into() }]);
    /// ```
    #[must_use]
    pub fn unchanged(self, key: &str, version: Option<u64>) -> Self {
        let key = key.to_owned();
        match version {
            Some(version) => self.check(Check::Version { key, version }),
            None => self.check(Check::Absent { key }),
        }
    }

    /// Adds a write of a value, serialized as JSON.
    #[must_use]
    pub fn put<T: Serialize>(mut self, key: &str, value: &T) -> Self {
        let value = serde_json::to_vec(value).unwrap_or_default();
        self.writes.push(Write::Put {
            key: key.to_owned(),
            value,
        });
        self
    }

    /// Adds a deletion.
    #[must_use]
    pub fn delete(mut self, key: &str) -> Self {
        self.writes.push(Write::Delete {
            key: key.to_owned(),
        });
        self
    }

    /// Converts to the gateway's encoding.
    pub fn to_wire(&self) -> wire::TxnRequest {
        wire::TxnRequest {
            compare: self.checks.iter().map(encode_check).collect(),
            success: self.writes.iter().map(encode_write).collect(),
        }
    }

    /// Converts from the gateway's encoding; returns `None` if a field is malformed.
    pub fn from_wire(request: &wire::TxnRequest) -> Option<Self> {
        let checks = request
            .compare
            .iter()
            .map(decode_check)
            .collect::<Option<_>>()?;
        let writes = request
            .success
            .iter()
            .map(decode_write)
            .collect::<Option<_>>()?;
        Some(Self { checks, writes })
    }
}

impl Row {
    /// Parses the value as JSON.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_slice(&self.value)
    }

    /// Converts to the gateway's encoding.
    pub fn to_wire(&self) -> wire::KeyValue {
        wire::KeyValue {
            key: encode(self.key.as_bytes()),
            value: encode(&self.value),
            mod_revision: self.version.to_string(),
        }
    }

    /// Converts from the gateway's encoding; returns `None` if a field is malformed.
    pub fn from_wire(kv: &wire::KeyValue) -> Option<Self> {
        Some(Self {
            key: decode_text(&kv.key)?,
            value: decode(&kv.value)?,
            version: kv.mod_revision.parse().ok()?,
        })
    }
}

fn decode_text(encoded: &str) -> Option<String> {
    String::from_utf8(decode(encoded)?).ok()
}

fn encode_check(check: &Check) -> wire::Compare {
    let (key, version) = match check {
        Check::Absent { key } => (key, 0),
        Check::Version { key, version } => (key, *version),
    };
    wire::Compare {
        key: encode(key.as_bytes()),
        result: "EQUAL".into(),
        target: "MOD".into(),
        mod_revision: version.to_string(),
    }
}

fn decode_check(compare: &wire::Compare) -> Option<Check> {
    if compare.result != "EQUAL" || compare.target != "MOD" {
        return None;
    }
    let key = decode_text(&compare.key)?;
    let version = compare.mod_revision.parse().ok()?;
    Some(match version {
        0 => Check::Absent { key },
        version => Check::Version { key, version },
    })
}

fn encode_write(write: &Write) -> wire::RequestOp {
    match write {
        Write::Put { key, value } => wire::RequestOp {
            request_put: Some(wire::PutRequest {
                key: encode(key.as_bytes()),
                value: encode(value),
            }),
            ..Default::default()
        },
        Write::Delete { key } => wire::RequestOp {
            request_delete_range: Some(wire::DeleteRequest {
                key: encode(key.as_bytes()),
            }),
            ..Default::default()
        },
    }
}

fn decode_write(operation: &wire::RequestOp) -> Option<Write> {
    if let Some(put) = &operation.request_put {
        return Some(Write::Put {
            key: decode_text(&put.key)?,
            value: decode(&put.value)?,
        });
    }
    let delete = operation.request_delete_range.as_ref()?;
    Some(Write::Delete {
        key: decode_text(&delete.key)?,
    })
}
