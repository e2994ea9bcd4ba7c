//! Tests of the handshake: the shared key, its rotation, and the incarnation.

use trefoildyke_types::id;
use trefoildyke_wire::peer;

use crate::peer::harness;

const OLD_KEY: &str = "the old key, 16+";
const NEW_KEY: &str = "the new key, 16+";

fn transcript() -> peer::Transcript {
    peer::Transcript {
        client: id::Incarnation::from_u64(1),
        server: id::Incarnation::from_u64(2),
        client_nonce: [3; 16],
        server_nonce: [4; 16],
    }
}

fn keys(key_texts: &[&str]) -> peer::Keys {
    peer::Keys::new(key_texts).unwrap()
}

#[tokio::test]
async fn a_peer_with_another_key_is_refused() {
    let limits = peer::Limits::default();
    let server = harness::serve(&[OLD_KEY], limits, harness::echo_methods()).await;
    let error = harness::connect(server.address, &[NEW_KEY], limits).await.err().unwrap();
    assert!(matches!(error, peer::Error::WrongKey), "{error}");
}

#[tokio::test]
async fn a_key_rotation_refuses_no_connection_at_any_step() {
    let limits = peer::Limits::default();
    let steps = [
        ([OLD_KEY].as_slice(), [OLD_KEY].as_slice()),
        (&[OLD_KEY, NEW_KEY], &[OLD_KEY]),
        (&[OLD_KEY, NEW_KEY], &[NEW_KEY, OLD_KEY]),
        (&[NEW_KEY], &[NEW_KEY, OLD_KEY]),
        (&[NEW_KEY], &[NEW_KEY]),
    ];
    for (first, second) in steps {
        for (server_keys, client_keys) in [(first, second), (second, first)] {
            let server = harness::serve(server_keys, limits, harness::echo_methods()).await;
            let connected = harness::connect(server.address, client_keys, limits).await;
            let (client, _driver) = connected.unwrap();
            let context = peer::within(std::time::Duration::from_secs(20));
            assert!(client.exchange(context, peer::Payload::default()).await.is_ok());
        }
    }
}

#[tokio::test]
async fn another_incarnation_at_the_address_is_refused() {
    let limits = peer::Limits::default();
    let server = harness::serve(&[OLD_KEY], limits, harness::echo_methods()).await;
    let expected = Some(id::Incarnation::from_u64(harness::SERVER_INCARNATION + 1));
    let identity = harness::identity(harness::CLIENT_INCARNATION, &[OLD_KEY]);
    let error = peer::connect(server.address, expected, &identity, limits).await.err().unwrap();
    assert!(matches!(error, peer::Error::WrongIncarnation { .. }), "{error}");
}

/// Requests the upgrade like a daemon, then sends `proof` instead of a valid proof.
///
/// Returns the bytes that the server sends after its answer.
async fn send_proof(address: std::net::SocketAddr, proof: &[u8]) -> Vec<u8> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let hello = "GET /peer HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\n\
         upgrade: trefoildyke-peer\r\nx-peer-incarnation: 0000000000000009\r\n\
         x-peer-nonce: 00112233445566778899aabbccddeeff\r\n\r\n";
    stream.write_all(hello.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    while !answer.ends_with(b"\r\n\r\n") {
        answer.push(stream.read_u8().await.unwrap());
    }
    assert!(answer.starts_with(b"HTTP/1.1 101"));
    stream.write_all(proof).await.unwrap();
    let mut rest = Vec::new();
    let end = stream.read_to_end(&mut rest);
    let _ = tokio::time::timeout(std::time::Duration::from_secs(20), end).await.unwrap();
    rest
}

#[tokio::test]
async fn a_client_with_an_invalid_proof_is_closed_before_any_call() {
    let server = harness::serve(&[OLD_KEY], peer::Limits::default(), harness::echo_methods()).await;
    assert!(send_proof(server.address, &[0; 32]).await.is_empty());
}

#[tokio::test]
async fn a_client_that_sends_no_proof_is_closed_at_the_handshake_timeout() {
    let limits = peer::Limits { handshake_ms: 300, ..peer::Limits::default() };
    let server = harness::serve(&[OLD_KEY], limits, harness::echo_methods()).await;
    assert!(send_proof(server.address, &[]).await.is_empty());
}

#[test]
fn a_proof_is_valid_only_for_its_role_key_and_transcript() {
    let original = transcript();
    let proof = original.prove(&keys(&[OLD_KEY]), peer::Role::Client);
    assert!(original.verify(&keys(&[NEW_KEY, OLD_KEY]), peer::Role::Client, &proof));
    assert!(!original.verify(&keys(&[OLD_KEY]), peer::Role::Server, &proof), "reflected");
    assert!(!original.verify(&keys(&[NEW_KEY]), peer::Role::Client, &proof), "another key");
    let changed = [
        peer::Transcript { client_nonce: [9; 16], ..original },
        peer::Transcript { server_nonce: [9; 16], ..original },
        peer::Transcript { client: id::Incarnation::from_u64(9), ..original },
        peer::Transcript { server: id::Incarnation::from_u64(9), ..original },
    ];
    for transcript in changed {
        assert!(
            !transcript.verify(&keys(&[OLD_KEY]), peer::Role::Client, &proof),
            "replayed: {transcript:?}"
        );
    }
}

#[test]
fn a_short_key_or_no_key_is_refused() {
    assert!(matches!(peer::Keys::new(&["short"]), Err(peer::Error::NoKey)));
    assert!(matches!(peer::Keys::new::<&str>(&[]), Err(peer::Error::NoKey)));
}
