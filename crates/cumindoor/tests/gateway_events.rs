//! Tests of the splitter of event streams.

use cumindoor::gateway::exchange::events::EventBuffer;
use proptest::prelude::*;
use rstest::rstest;

/// Size limit of an event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// What a buffer returned for a stream, and its state afterwards.
#[derive(Debug, PartialEq)]
struct Split {
    returned: Vec<u8>,
    last_id: Option<u64>,
    ended: u64,
    at_boundary: bool,
}

/// Splits a stream that arrives in pieces that end at `cuts`.
fn split_in_pieces(text: &[u8], cuts: &[usize]) -> Split {
    let mut events = EventBuffer::after(None);
    let mut returned = Vec::new();
    let mut from = 0;
    for to in cuts.iter().copied().chain([text.len()]) {
        returned.extend(events.push(&text[from..to]).unwrap());
        from = to;
    }
    Split {
        returned,
        last_id: events.last_id(),
        ended: events.ended(),
        at_boundary: events.is_at_boundary(),
    }
}

/// Returns the events of a whole stream, found by a plain search, and the incomplete rest.
fn split_plainly(text: &[u8]) -> (Vec<&[u8]>, &[u8]) {
    let mut events = Vec::new();
    let mut from = 0;
    for to in 1..=text.len() {
        let event = &text[from..to];
        if event.ends_with(b"\n\n") || event.ends_with(b"\r\n\r\n") {
            events.push(event);
            from = to;
        }
    }
    (events, &text[from..])
}

fn id_of(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let id = lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next_back()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}

/// Returns what a buffer has to return for a stream.
fn expected_split(text: &[u8]) -> Split {
    let (events, rest) = split_plainly(text);
    let mut split = Split {
        returned: Vec::new(),
        last_id: None,
        ended: events.len() as u64,
        at_boundary: rest.is_empty(),
    };
    for event in events {
        let id = id_of(event);
        if id.is_none() || id > split.last_id {
            split.returned.extend_from_slice(event);
            split.last_id = id.or(split.last_id);
        }
    }
    split
}

/// Generates streams of valid events, events with repeated ids, parts of line ends and any bytes.
fn any_stream() -> impl Strategy<Value = Vec<u8>> {
    let line_end = prop::sample::select(vec!["\n", "\r\n", "\r", "\n\n", "\r\n\r\n", "\n\r\n"]);
    let piece = prop_oneof![
        (0_u64..20).prop_map(|id| format!("id: {id}\ndata: t\n\n").into_bytes()),
        (0_u64..20).prop_map(|id| format!("id:{id}\r\ndata: t\r\n\r\n").into_bytes()),
        line_end.prop_map(|end| end.as_bytes().to_vec()),
        prop::collection::vec(any::<u8>(), 0..8),
    ];
    prop::collection::vec(piece, 0..24).prop_map(|pieces| pieces.concat())
}

/// Generates a stream and the positions at which it is split.
fn any_split_stream() -> impl Strategy<Value = (Vec<u8>, Vec<usize>)> {
    any_stream().prop_flat_map(|text| {
        let cuts = prop::collection::vec(0..=text.len(), 0..32);
        let sorted = cuts.prop_map(|mut cuts| {
            cuts.sort_unstable();
            cuts
        });
        (Just(text), sorted)
    })
}

proptest! {
    /// Guards against events that are lost, repeated or joined because of the positions at which
    /// the stream is split.
    #[test]
    fn events_do_not_depend_on_the_pieces((text, cuts) in any_split_stream()) {
        let expected = expected_split(&text);

        prop_assert_eq!(split_in_pieces(&text, &cuts), expected);
    }

    /// Guards against an event that is lost or repeated after a resume at any position, when the next
    /// upstream begins with any earlier event.
    #[test]
    fn a_resumed_stream_has_each_event_once(count in 1_u64..20, cut in any::<prop::sample::Index>(), first in 1_u64..20) {
        let events: Vec<String> = (1..=count).map(|id| format!("id: {id}\ndata: {id}\n\n")).collect();
        let text = events.concat();
        let cut = cut.index(text.len() + 1);
        let mut buffer = EventBuffer::after(None);

        let mut returned = buffer.push(&text.as_bytes()[..cut]).unwrap().to_vec();
        buffer.discard_partial();
        let next = usize::try_from(first.min(buffer.last_id().unwrap_or(0) + 1)).unwrap();
        returned.extend(buffer.push(events[next - 1..].concat().as_bytes()).unwrap());

        prop_assert_eq!(returned, text.into_bytes());
        prop_assert!(buffer.is_at_boundary());
    }
}

/// Guards against an end that is not found because it arrives in two or more pieces.
#[rstest]
#[case::lf("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")]
#[case::crlf("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n")]
#[case::mixed("id: 1\r\ndata: a\n\nid: 2\ndata: b\r\n\r\n")]
fn ends_are_found_at_any_split(#[case] text: &str) {
    let expected = Split {
        returned: text.as_bytes().to_vec(),
        last_id: Some(2),
        ended: 2,
        at_boundary: true,
    };

    for first in 0..=text.len() {
        for second in first..=text.len() {
            let split = split_in_pieces(text.as_bytes(), &[first, second]);

            assert_eq!(split, expected, "split at {first} and {second}");
        }
    }
    let all: Vec<usize> = (0..text.len()).collect();
    assert_eq!(split_in_pieces(text.as_bytes(), &all), expected);
}

/// Guards against a cost that grows with the square of an event's size: if each piece caused a search
/// of the whole event, this one would take 5 * 10^11 comparisons and the test would not end.
#[test]
fn a_large_event_in_single_bytes_is_searched_once() {
    let text = vec![b'x'; MAX_EVENT_BYTES - 2];
    let mut events = EventBuffer::after(None);

    for byte in &text {
        assert!(events.push(&[*byte]).unwrap().is_empty());
    }
    let returned = events.push(b"\n\n").unwrap();

    assert_eq!(returned.len(), MAX_EVENT_BYTES);
}

/// Guards against an event over the limit that is returned, or an event before it that is lost,
/// depending on the pieces.
#[rstest]
#[case::whole(usize::MAX)]
#[case::reads(64 * 1024)]
#[case::small(1_000)]
fn an_oversized_event_is_an_error(#[case] piece: usize) {
    let first = "id: 1\ndata: a\n\n";
    let oversized = "x".repeat(MAX_EVENT_BYTES - 1);
    let text = format!("{first}{oversized}\n\nid: 3\ndata: c\n\n");
    let mut events = EventBuffer::after(None);
    let mut returned = Vec::new();

    let pieces = text.as_bytes().chunks(piece.min(text.len()));
    let failed = pieces
        .map(|piece| events.push(piece))
        .find_map(|pushed| pushed.map(|ready| returned.extend(ready)).err());

    assert_eq!(returned, first.as_bytes());
    assert_eq!(events.last_id(), Some(1));
    assert!(!events.is_at_boundary());
    assert!(failed.is_some() || events.push(b"\n").is_err());
}
