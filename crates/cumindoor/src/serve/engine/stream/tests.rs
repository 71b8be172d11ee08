use super::*;

/// Returns a parser and the line of the next token, whose text has `length` characters.
fn parser_and_line(length: usize) -> (Parser, String) {
    let token = "x".repeat(length);
    let line = format!("data: {{\"id\":\"r-1\",\"index\":0,\"token\":\"{token}\"}}\n\n");
    (Parser::new("r-1".to_owned(), 0), line)
}

/// Guards against a cost that grows with the square of a line's length: if each piece caused a search
/// of the whole line, this one would take 3 * 10^10 comparisons and the test would not end.
#[test]
fn a_large_line_in_single_bytes_is_searched_once() {
    let length = MAX_EVENT_BYTES - 1_000;
    let (mut parser, line) = parser_and_line(length);
    let (mut buffer, mut events) = (BytesMut::new(), Vec::new());

    for byte in line.bytes() {
        buffer.extend_from_slice(&[byte]);
        parser.feed(&mut buffer, &mut events).unwrap();
    }

    assert_eq!(events, [StreamEvent::Token("x".repeat(length))]);
    assert!(buffer.is_empty());
}

/// Guards against lines that are lost, repeated or joined because of the positions at which they are
/// split.
#[test]
fn lines_are_found_at_any_split() {
    let (_, line) = parser_and_line(3);
    let text = line.clone() + &line.replace("\"index\":0", "\"index\":1");

    for first in 0..=text.len() {
        for second in first..=text.len() {
            let (mut parser, _) = parser_and_line(0);
            let (mut buffer, mut events) = (BytesMut::new(), Vec::new());
            for piece in [&text[..first], &text[first..second], &text[second..]] {
                buffer.extend_from_slice(piece.as_bytes());
                parser.feed(&mut buffer, &mut events).unwrap();
            }

            let token = StreamEvent::Token("xxx".to_owned());
            assert_eq!(events, [token.clone(), token], "{first}, {second}");
        }
    }
}

/// Guards against a line without an end that exhausts memory.
#[test]
fn an_endless_line_is_an_error() {
    let (mut parser, _) = parser_and_line(0);
    let (mut buffer, mut events) = (BytesMut::new(), Vec::new());
    let piece = [b'x'; 1_024];

    let fed = (0..=MAX_EVENT_BYTES / piece.len()).find_map(|_| {
        buffer.extend_from_slice(&piece);
        parser.feed(&mut buffer, &mut events).err()
    });

    assert!(fed.is_some());
}
