//! Replies that compete for the memory of a host.

use std::time::Duration;

use tidetrack_core::codes::Code;
use tidetrack_core::traffic::reply_limits::ReplyLimits;
use tidetrack_core::units::MemorySize;
use tidetrack_plane::reply_memory::{ReplyHold, ReplyMemory, Segments};

/// Memory of the host, in MB.
const MEMORY: MemorySize = MemorySize(64.0);

/// Size of a reply whose memory is not reserved, in bytes.
const SMALL_REPLY_BYTES: usize = 32 << 10;

/// Time in which a reply that needs no memory of others is received.
const SHORT_TIME: Duration = Duration::from_millis(500);

/// Size in bytes of a reply that takes almost all the memory, in part.
fn most_of_the_memory() -> usize {
    ReplyLimits::for_memory(MEMORY).total - (64 << 10)
}

async fn receive(bytes: usize, hold: &mut ReplyHold<'_>) -> Result<usize, Code> {
    let mut segments = Segments::default();
    segments.append(&vec![0; bytes], hold).await.map_err(|e| e.code)?;
    Ok(segments.finish().len())
}

#[tokio::test]
async fn replies_that_hold_a_part_each_do_not_wait_for_each_other() {
    let memory = ReplyMemory::new(MEMORY);
    let bytes = ReplyLimits::for_memory(MEMORY).reply;
    let receive_twice = || async {
        let mut hold = memory.open();
        receive(bytes / 2, &mut hold).await?;
        tokio::task::yield_now().await;
        receive(bytes / 2, &mut hold).await
    };

    let results = tokio::join!(receive_twice(), receive_twice(), receive_twice());

    assert_eq!(results, (Ok(bytes / 2), Ok(bytes / 2), Ok(bytes / 2)));
}

#[tokio::test]
async fn small_replies_do_not_wait_for_large_ones() {
    let memory = ReplyMemory::new(MEMORY);
    let (mut large, mut larger) = (memory.open(), memory.open());
    receive(most_of_the_memory(), &mut large).await.expect("there is memory");
    receive(most_of_the_memory(), &mut larger).await.expect("one reply may exceed the bound");

    let mut hold = memory.open();
    let small = receive(SMALL_REPLY_BYTES, &mut hold);
    let received = tokio::time::timeout(SHORT_TIME, small).await;

    assert_eq!(received, Ok(Ok(SMALL_REPLY_BYTES)));
}

#[tokio::test]
async fn a_reply_fails_if_others_keep_the_memory() {
    let memory = ReplyMemory::new(MEMORY);
    let (mut large, mut larger) = (memory.open(), memory.open());
    receive(most_of_the_memory(), &mut large).await.expect("there is memory");
    receive(most_of_the_memory(), &mut larger).await.expect("one reply may exceed the bound");

    let waiting = receive(most_of_the_memory(), &mut memory.open()).await;
    drop(larger);
    let later = receive(most_of_the_memory(), &mut memory.open()).await;

    assert_eq!((waiting, later), (Err(Code::PlatformDown), Ok(most_of_the_memory())));
}
