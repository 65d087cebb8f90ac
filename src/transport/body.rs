//! Response bodies that are read as a whole, within a bounded amount of memory.

use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

/// Maximum size of a body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Size up to which a body needs nothing of the shared memory, so that small ones never wait for large ones.
const SMALL_BODY_BYTES: usize = 64 << 10;

/// Memory that the large bodies of a process share while they are read.
#[derive(Debug)]
pub struct Memory {
    left: AtomicUsize,
}

impl Memory {
    /// Creates memory of a number of bytes.
    pub fn new(bytes: usize) -> Self {
        Self {
            left: AtomicUsize::new(bytes),
        }
    }

    fn take(&self, bytes: usize) -> bool {
        let take = |left: usize| left.checked_sub(bytes);
        let taken = self
            .left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        taken.is_ok()
    }
}

/// Memory that one body has taken; dropping it returns the memory.
struct Taken<'a> {
    memory: &'a Memory,
    bytes: usize,
}

impl Drop for Taken<'_> {
    fn drop(&mut self) {
        self.memory.left.fetch_add(self.bytes, Ordering::Relaxed);
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
    let mut taken = Taken { memory, bytes: 0 };
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
        let needed = length.saturating_sub(SMALL_BODY_BYTES);
        if length > MAX_BODY_BYTES || !memory.take(needed - taken.bytes) {
            return None;
        }
        taken.bytes = needed;
    }
    match whole.is_empty() {
        true => Some(first),
        false => Some(whole.freeze()),
    }
}
