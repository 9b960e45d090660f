//! Guards against a zero byte in a text that ends its field and begins another one.

use bytes::BytesMut;
use tamarackbend_postgres::message::{
    self, Backend, Bind, Close, CommandComplete, Describe, Execute, FieldDescription, Frontend,
    ParameterStatus, Parse, Query, RowDescription, Startup, put_backend, put_frontend,
};

fn startup(database: &str) -> Frontend {
    let mut startup = Startup::new();
    startup.parameters.insert("database".to_owned(), database.to_owned());
    Frontend::Startup(startup)
}

#[test]
fn text_with_a_zero_byte_is_refused() {
    let text = || "pacht\0user\0postgres".to_owned();
    let name = || Some(text());
    for message in [
        startup(&text()),
        Frontend::Query(Query::new(text())),
        Frontend::Parse(Parse::new(name(), "SELECT 1".to_owned(), Vec::new())),
        Frontend::Parse(Parse::new(None, text(), Vec::new())),
        Frontend::Bind(Bind::new(name(), None, Vec::new(), Vec::new(), Vec::new())),
        Frontend::Bind(Bind::new(None, name(), Vec::new(), Vec::new(), Vec::new())),
        Frontend::Describe(Describe::new(b'S', name())),
        Frontend::Execute(Execute::new(name(), 0)),
        Frontend::Close(Close::new(b'S', name())),
    ] {
        let mut output = BytesMut::from("before");
        assert!(put_frontend(&message, &mut output).is_err(), "{message:?}");
        assert_eq!(output, "before", "{message:?}");
    }
    let field = FieldDescription::new(text(), 0, 0, 25, -1, -1, 0);
    for message in [
        message::error("ERROR", "26000", &text(), None),
        message::error("ERROR", "26000", "", Some(&text())),
        Backend::CommandComplete(CommandComplete::new(text())),
        Backend::ParameterStatus(ParameterStatus::new("name".to_owned(), text())),
        Backend::RowDescription(RowDescription::new(vec![field])),
    ] {
        let mut output = BytesMut::from("before");
        assert!(put_backend(&message, &mut output).is_err(), "{message:?}");
        assert_eq!(output, "before", "{message:?}");
    }
}

#[test]
fn any_other_text_is_one_field() {
    let long = "x".repeat(1 << 20);
    for text in ["", " ", "a\r\nb", "user", "C26000", "café", &long] {
        let mut output = BytesMut::new();
        let error = message::error("ERROR", "26000", text, Some(text));
        put_backend(&error, &mut output).expect("the message can be encoded");
        let Ok(Some(Backend::ErrorResponse(error))) = message::take_backend(&mut output) else {
            panic!("{text:.20?} is not an error");
        };
        assert_eq!((message::text(&error), error.fields.len()), (text, 5));
        if text.len() < 9_000 {
            put_frontend(&startup(text), &mut output).expect("the message can be encoded");
            let first = message::take_startup(&mut output, 1 << 20).expect("it is valid");
            assert_eq!(format!("{first:?}"), format!("{:?}", Some(startup(text))));
        }
    }
    assert!(put_frontend(&startup(&long), &mut BytesMut::new()).is_err());
}
