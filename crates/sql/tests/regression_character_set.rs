//! Guards against a character set that is confirmed to the client although another one was asked for.

use tamarackbend_sql::{Class, classify};

fn set(name: &str, value: &str) -> Class {
    Class::Set { name: name.to_owned(), value: value.to_owned() }
}

#[test]
fn value_of_set_is_the_one_that_was_sent() {
    for (sql, class) in [
        ("SET NAMES 'LATIN1'", set("client_encoding", "LATIN1")),
        ("SET NAMES UTF8", set("client_encoding", "UTF8")),
        ("SET client_encoding = 'LATIN1'", set("client_encoding", "LATIN1")),
        ("SET client_encoding = '''UTF8'''", set("client_encoding", "'UTF8'")),
        ("SET tamarackbend.max_age = ''", set("tamarackbend.max_age", "")),
        ("SET tamarackbend.max_age = '5s '", set("tamarackbend.max_age", "5s ")),
        ("SET application_name = 'it''s\r\nSET a'", set("application_name", "it's\r\nSET a")),
        ("SET client_encoding = 'UTF8', 'LATIN1'", Class::Stateful),
        ("SET NAMES 'UTF8' COLLATE 'x'", Class::Stateful),
    ] {
        assert_eq!(classify(sql).class, class, "{sql}");
    }
}
