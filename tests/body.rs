//! Bodies that are read whole, when many of them have no end.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use persimmoncroft::transport::body::{Memory, read_whole};

/// Bytes that bodies have handed out and that are not free yet, now and at most.
#[derive(Debug, Default)]
struct Held {
    now: AtomicUsize,
    most: AtomicUsize,
}

/// Reads a body that yields pieces without an end; all pieces share their bytes, so the test needs little memory.
async fn read_endless(held: Arc<Held>, memory: &Memory) -> Option<Bytes> {
    let own = Arc::new(AtomicUsize::new(0));
    let piece = Bytes::from(vec![b'x'; 16 << 10]);
    let state = (piece, held.clone(), own.clone());
    let frames = stream::unfold(state, |state| async move {
        // Lets the other bodies go on.
        tokio::task::yield_now().await;
        let (piece, held, own) = &state;
        own.fetch_add(piece.len(), Ordering::Relaxed);
        let now = held.now.fetch_add(piece.len(), Ordering::Relaxed) + piece.len();
        held.most.fetch_max(now, Ordering::Relaxed);
        Some((Ok::<_, Infallible>(Frame::data(piece.clone())), state))
    });
    let read = read_whole(StreamBody::new(Box::pin(frames)), memory).await;
    held.now
        .fetch_sub(own.load(Ordering::Relaxed), Ordering::Relaxed);
    read
}

/// Guards against a process that is ended for its memory, because many endpoints send bodies without an end.
#[tokio::test]
async fn bodies_without_an_end_together_take_a_bounded_amount_of_memory() {
    let (memory, held) = (Memory::new(4 << 20), Arc::<Held>::default());
    let bodies = (0..100).map(|_| read_endless(held.clone(), &memory));
    for result in futures::future::join_all(bodies).await {
        assert!(result.is_none());
    }
    // 4 MiB for all of them, besides 64 KiB and the last piece of each.
    let most = (4 << 20) + 100 * (80 << 10);
    assert!(held.most.load(Ordering::Relaxed) <= most, "{held:?}");
    // What they took is free again.
    let body = Full::new(Bytes::from(vec![b'y'; 3 << 20]));
    assert_eq!(read_whole(body, &memory).await.unwrap().len(), 3 << 20);
}

/// Guards against sound answers that fail because others have no end.
#[tokio::test]
async fn small_bodies_are_read_whatever_the_others_take() {
    let memory = Memory::new(0);
    let body = Full::new(Bytes::from(vec![b'y'; 60 << 10]));
    assert_eq!(read_whole(body, &memory).await.unwrap().len(), 60 << 10);
    let body = Full::new(Bytes::from(vec![b'y'; 70 << 10]));
    assert!(read_whole(body, &memory).await.is_none());
}

#[tokio::test]
async fn pieces_are_joined_in_their_order() {
    let pieces = ["a", "b", "c"].map(|piece| Ok::<_, Infallible>(Frame::data(Bytes::from(piece))));
    let body = StreamBody::new(stream::iter(pieces)).boxed();
    assert_eq!(
        &read_whole(body, &Memory::new(0)).await.unwrap()[..],
        b"abc"
    );
}
