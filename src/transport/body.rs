//! Response bodies that are read as a whole, within a bounded amount of memory.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

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
pub async fn read_whole<B>(mut body: B, memory: &Memory) -> Option<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut taken = memory.buffer();
    let mut whole = BytesMut::new();
    let mut first = Bytes::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        if first.is_empty() && whole.is_empty() {
            first = data;
        } else {
            if !first.is_empty() {
                whole.extend_from_slice(&std::mem::take(&mut first));
            }
            whole.extend_from_slice(&data);
        }
        let length = first.len() + whole.len();
        if length > MAX_BODY_BYTES || !taken.resize(length, whole.capacity()) {
            return None;
        }
    }
    match whole.is_empty() {
        true => Some(first),
        false => Some(whole.freeze()),
    }
}
