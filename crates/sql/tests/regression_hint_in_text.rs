//! Guards against a maximum age that is taken from a text or a name instead of a comment.

use std::time::Duration;

use tamarackbend_sql::classify;

#[test]
fn only_a_comment_is_a_hint() {
    for sql in [
        "SELECT '/* tamarackbend.max_age=5s */'",
        "SELECT 'it''s /* tamarackbend.max_age=5s */'",
        "SELECT E'\\'/* tamarackbend.max_age=5s */'",
        "SELECT $$/* tamarackbend.max_age=5s */$$",
        "SELECT $a$/* tamarackbend.max_age=5s */$a$",
        "SELECT 1 AS \"/* tamarackbend.max_age=5s */\"",
        "SELECT 1 -- /* tamarackbend.max_age=5s */",
        "SELECT 1 /* a /* tamarackbend.max_age=5s */ b */",
        "SELECT 1 /* tamarackbend.max_age=5s\u{0}*/",
        "SELECT 'open /* tamarackbend.max_age=5s */",
        "",
    ] {
        assert_eq!(classify(sql).max_age, None, "{sql}");
    }
    let long = "x".repeat(1 << 20);
    for sql in [
        "/* tamarackbend.max_age=5s */ SELECT 1",
        "SELECT 1 /*\r\n tamarackbend.max_age=5s\r\n*/",
        "/* list */ SELECT 1 /* tamarackbend.max_age=5s */",
        "SELECT '/*' /* tamarackbend.max_age=5s */",
        &format!("SELECT '{long}' /* tamarackbend.max_age=5s */"),
    ] {
        assert_eq!(classify(sql).max_age, Some(Duration::from_secs(5)), "{:.60}", sql);
    }
}
