use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::time::advance;

use super::*;

const MS: Duration = Duration::from_millis(1);

/// Returns both ends of a connection and the marker of its parts.
fn connection() -> (DuplexStream, LimitedStream<DuplexStream>, PartMarker) {
    let (upstream, stream) = duplex(64);
    let marker = PartMarker::default();
    let limited = LimitedStream::new(stream, marker.clone());
    (upstream, limited, marker)
}

/// Sends a byte every `gap` and returns how many of them were read, up to `most`.
async fn read_bytes(
    (upstream, stream): (&mut DuplexStream, &mut LimitedStream<DuplexStream>),
    gap: Duration,
    most: usize,
) -> usize {
    for count in 0..most {
        upstream.write_all(b"x").await.unwrap();
        if stream.read_u8().await.is_err() {
            return count;
        }
        advance(gap).await;
    }
    most
}

/// Guards against a part that goes on without end. The first byte starts the time; a gap counts for
/// 250 ms at most, so that an upstream with long pauses is given more time, but not all of it.
#[rstest]
#[case::often(10 * MS, 101)]
#[case::seldom(250 * MS, 5)]
#[case::with_pauses(5_000 * MS, 5)]
#[tokio::test(start_paused = true)]
async fn a_part_without_an_end_is_an_error(#[case] gap: Duration, #[case] expected: usize) {
    let (mut upstream, mut stream, marker) = connection();
    marker.begin();

    let read = read_bytes((&mut upstream, &mut stream), gap, 1_000).await;

    assert_eq!(read, expected);
}

/// Guards against a sound upstream that is given up because it paused within a part.
#[rstest]
#[case::once(&[60_000])]
#[case::three_times(&[2_000, 2_000, 2_000])]
#[tokio::test(start_paused = true)]
async fn a_pause_within_a_part_is_no_error(#[case] pauses: &[u64]) {
    let (mut upstream, mut stream, marker) = connection();
    marker.begin();
    read_bytes((&mut upstream, &mut stream), 10 * MS, 10).await;

    for pause in pauses {
        advance(Duration::from_millis(*pause)).await;
        let read = read_bytes((&mut upstream, &mut stream), MS, 10).await;

        assert_eq!(read, 10);
    }
}

/// Guards against a long stream that is cut although its parts end in time.
#[tokio::test(start_paused = true)]
async fn each_part_has_the_whole_time() {
    let (mut upstream, mut stream, marker) = connection();

    for _ in 0..100 {
        marker.begin();
        let read = read_bytes((&mut upstream, &mut stream), 10 * MS, 100).await;
        assert_eq!(read, 100);
    }
}

/// Guards against a time limit for bodies that are relayed as they arrive.
#[tokio::test(start_paused = true)]
async fn what_follows_the_last_part_has_no_limit() {
    let (mut upstream, mut stream, marker) = connection();
    marker.begin();
    read_bytes((&mut upstream, &mut stream), 10 * MS, 90).await;
    marker.end();

    let read = read_bytes((&mut upstream, &mut stream), 10 * MS, 1_000).await;

    assert_eq!(read, 1_000);
}

/// Guards against interim answers without end that arrive so fast that the time limit alone would let megabytes of them
/// be parsed, and against a limit on the bytes of other parts, whose readers have limits of their own.
#[rstest]
#[case::head(true)]
#[case::event(false)]
#[tokio::test(start_paused = true)]
async fn only_the_bytes_of_a_head_are_limited(#[case] is_head: bool) {
    let (mut upstream, mut stream, marker) = connection();
    if is_head {
        marker.begin_head();
    } else {
        marker.begin();
    }
    let most = usize::try_from(2 * MAX_HEAD_BYTES).unwrap();

    let read = read_bytes((&mut upstream, &mut stream), Duration::ZERO, most).await;

    let expected = if is_head { most / 2 } else { most };
    assert_eq!(read, expected);
}
