//! Bodies that are read as a whole, within a bounded amount of memory.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http_body_util::BodyExt;
use hyper::body::Body;

use super::account::{Account, Item, Stage};

/// Maximum size of a body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Size up to which a buffer needs nothing of the shared memory, so that small bodies never wait for large ones.
const SMALL_BYTES: usize = 64 << 10;

/// Memory that the large buffers of a process share while bodies are read; clones share it.
#[derive(Debug, Clone)]
pub struct Memory {
    left: Arc<AtomicUsize>,
}

impl Default for Memory {
    /// As much as there is.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl Memory {
    /// Creates memory of a number of bytes.
    pub fn new(bytes: usize) -> Self {
        Self {
            left: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    /// Memory for one buffer, which is empty at first.
    pub fn buffer(&self) -> Taken {
        Taken {
            memory: self.clone(),
            bytes: 0,
        }
    }

    fn take(&self, bytes: usize) -> bool {
        let take = |left: usize| left.checked_sub(bytes);
        let taken = self
            .left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        taken.is_ok()
    }

    fn put_back(&self, bytes: usize) {
        self.left.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// Memory that one buffer has taken; dropping it returns the memory.
#[derive(Debug, Default)]
pub struct Taken {
    memory: Memory,
    bytes: usize,
}

impl Taken {
    /// Takes what a buffer of a length and a capacity needs in all, or returns what it no longer needs; returns whether there
    /// was enough.
    ///
    /// ```
    /// use persimmoncroft::transport::body::Memory;
    /// let memory = Memory::new(100 << 10);
    /// let (mut first, mut second) = (memory.buffer(), memory.buffer());
    /// assert!(first.resize(90 << 10, 128 << 10));
    /// assert!(!second.resize(90 << 10, 128 << 10));
    /// // Short ones need nothing of it.
    /// assert!(second.resize(50 << 10, 64 << 10));
    /// assert!(first.resize(0, 128 << 10));
    /// assert!(second.resize(90 << 10, 128 << 10));
    /// ```
    pub fn resize(&mut self, length: usize, capacity: usize) -> bool {
        let needed = match length <= SMALL_BYTES {
            true => 0,
            false => capacity.max(length) - SMALL_BYTES,
        };
        if needed > self.bytes && !self.memory.take(needed - self.bytes) {
            return false;
        }
        if needed < self.bytes {
            self.memory.put_back(self.bytes - needed);
        }
        self.bytes = needed;
        true
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.memory.put_back(self.bytes);
    }
}

/// Error of reading a body for as long as it is kept.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// the body is too large
    TooLarge,
    /// other bodies leave too little memory
    NoMemory,
    /// the body broke off
    Broken,
}

impl std::error::Error for Error {}

/// Bytes with what they hold of the account.
#[derive(Debug)]
struct Kept {
    bytes: Bytes,
    _item: Item,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a whole body of `max_bytes` at most, which holds its part of the account until the last copy of it is dropped. A body that
/// states its size fails before it is read if it can't be kept.
///
/// # Errors
/// Any [`Error`].
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
/// use http_body_util::Full;
/// use persimmoncroft::transport::account::{Account, Bounds};
/// use persimmoncroft::transport::body::{Error, read_kept};
/// let bounds = Bounds { bytes: 100 << 10, ..Bounds::default() };
/// let account = Account::open(bounds, &mut Default::default());
/// let body = || Full::new(bytes::Bytes::from(vec![0; 150 << 10]));
/// let first = read_kept(body(), 200 << 10, &account).await.unwrap();
/// assert_eq!(read_kept(body(), 200 << 10, &account).await, Err(Error::NoMemory));
/// drop(first);
/// assert!(read_kept(body(), 200 << 10, &account).await.is_ok());
/// assert_eq!(read_kept(body(), 100 << 10, &account).await, Err(Error::TooLarge));
/// # });
/// ```
pub async fn read_kept<B>(body: B, max_bytes: usize, account: &Account) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated > max_bytes {
        return Err(Error::TooLarge);
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let item = account.body();
    if !item.resize(stated) {
        return Err(Error::NoMemory);
    }
    let bytes = tokio::select! {
        biased;
        () = item.ended() => return Err(Error::NoMemory),
        bytes = copy(body, stated, max_bytes, &item) => bytes?,
    };
    item.enter(Stage::Running);
    Ok(Bytes::from_owner(Kept { bytes, _item: item }))
}

/// Copies a body of at least `stated` bytes into one buffer, so that no part of it keeps a connection's read buffer.
async fn copy<B>(mut body: B, stated: usize, max_bytes: usize, item: &Item) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Error::Broken)?.into_data() else {
            continue;
        };
        let length = whole.len() + data.len();
        if length > max_bytes {
            return Err(Error::TooLarge);
        }
        if length > whole.capacity() {
            // At most doubles, and never beyond what a body may have.
            let capacity = match length <= stated {
                true => stated,
                false => (2 * length).min(max_bytes),
            };
            if !item.resize(capacity) {
                return Err(Error::NoMemory);
            }
            whole.reserve(capacity - whole.len());
        }
        whole.extend_from_slice(&data);
        item.advance(data.len());
    }
    Ok(whole.freeze())
}

/// Reads a whole body; `None` if it fails, is too large, or does not fit the memory that other bodies leave.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
/// use http_body_util::Full;
/// use persimmoncroft::transport::body::{Memory, read_whole};
/// let body = Full::new(bytes::Bytes::from("text"));
/// assert_eq!(&read_whole(body, &Memory::new(0)).await.unwrap()[..], b"text");
/// # });
/// ```
pub async fn read_whole<B>(body: B, memory: &Memory) -> Option<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut taken = memory.buffer();
    collect(body, &mut taken).await
}

/// Reads a whole body into memory that is taken for it.
async fn collect<B>(mut body: B, taken: &mut Taken) -> Option<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut whole = BytesMut::new();
    let mut first = Bytes::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        let length = first.len() + whole.len() + data.len();
        if length > MAX_BODY_BYTES {
            return None;
        }
        if first.is_empty() && whole.is_empty() {
            first = data;
        } else {
            if !first.is_empty() {
                whole.reserve(length);
                whole.extend_from_slice(&std::mem::take(&mut first));
            }
            whole.extend_from_slice(&data);
        }
        if !taken.resize(length, whole.capacity()) {
            return None;
        }
    }
    match whole.is_empty() {
        true => Some(first),
        false => Some(whole.freeze()),
    }
}
