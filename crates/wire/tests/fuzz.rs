//! Random and mutated bytes for the decoder of frames between nodes, from fixed seeds.

use bytes::BytesMut;
use tamarackbend_mutation::check;
use tamarackbend_wire::frame::Body;
use tamarackbend_wire::{Codec, Decoder, Encoder, Floor, Frame, Hello, Statement};

fn frames() -> BytesMut {
    let hello = Hello {
        vm: "entry-0".to_owned(),
        failure_domain: "noord-a".to_owned(),
        peer_address: "127.0.0.1:7000".to_owned(),
    };
    let statement = Statement {
        session: 7,
        number: 2,
        database: "pachtregister-1".to_owned(),
        floor: Some(Floor { term: 3, position: 1207 }),
        messages: b"Q\0\0\0\x0dSELECT 1\0".to_vec().into(),
        ..Statement::default()
    };
    let (mut codec, mut output) = (Codec::new(), BytesMut::new());
    for body in [Body::Hello(hello), Body::Statement(statement)] {
        codec.encode(Frame::new(body), &mut output).expect("it fits");
    }
    output
}

#[test]
fn decoder_of_frames() {
    check(1_000_000, &frames(), || {
        let mut codec: Codec<Frame> = Codec::new();
        move |input: &mut BytesMut| codec.decode(input)
    });
}
