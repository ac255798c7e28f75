//! Tests of the recognition of heads of answers inside other bytes.

use bergamotspan::answer_head::answer_heads;

/// Returns status and names of the headers of each head in a text.
fn heads(text: &str) -> Vec<(u16, String)> {
    let names = |headers: hyper::HeaderMap| {
        let names: Vec<_> = headers.keys().map(|name| name.to_string()).collect();
        names.join(" ")
    };
    let heads = answer_heads(text.as_bytes());
    heads.map(|(status, headers)| (status.as_u16(), names(headers))).collect()
}

#[test]
fn a_head_is_found_after_any_bytes() {
    for before in ["", "booked", "HTTP/1.", "HTTP/1.1 20", "a: HTTP/1.1 200\r\na b\r\n", "\u{e9}\n"]
    {
        let text = format!("{before}HTTP/1.0 404 Missing\r\nA: 1\r\nb:2\r\n\r\nC: 3\r\n");
        assert_eq!(heads(&text).last(), Some(&(404, "a b".to_owned())), "{text:?}");
    }
}

#[test]
fn a_head_that_is_cut_off_has_its_whole_headers() {
    let head = "HTTP/1.1 200 OK\r\nA: 1\r\nB: 2\r\n";
    for (length, names) in [(head.len(), "a b"), (head.len() - 1, "a"), (17, ""), (12, "")] {
        assert_eq!(heads(&head[..length]), [(200, names.to_owned())]);
    }
    assert!(heads(&head[..11]).is_empty());
}

#[test]
fn lines_that_are_no_head_are_not_taken_for_one() {
    for text in
        ["HTTP/2.0 200 OK\r\nA: 1\r\n", "HTTP/1.1 2OO\r\n", "HTTP/1.x 200\r\n", "http/1.1 200"]
    {
        assert!(heads(text).is_empty(), "{text:?}");
    }
    for text in [
        "HTTP/1.1 200 OK\nA: 1\r\n",
        "HTTP/1.1 200\r\n\r\nA: 1\r\n",
        "HTTP/1.1 200 OK\r\na b: 1\r\n",
    ] {
        assert_eq!(heads(text), [(200, String::new())], "{text:?}");
    }
}

/// A search that reads the rest of a body for each status line would take minutes.
#[test]
fn a_body_full_of_status_lines_is_read_once() {
    for part in ["HTTP/1.1 200 ", "a: HTTP/1.1 200\r\n", "HTTP/1.1 200\n", "HTTP/1.1 200\r\n"] {
        let heads = heads(&part.repeat(300_000));
        assert_eq!(heads.first().map(|(status, _)| *status), Some(200));
    }
}

#[test]
fn more_headers_than_fit_into_a_head_are_left_out() {
    let lines: String = (0..40_000).map(|number| format!("a{number}: 1\r\n")).collect();
    assert_eq!(heads(&format!("HTTP/1.1 200 OK\r\n{lines}")).len(), 1);
}
