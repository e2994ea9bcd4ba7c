//! Who may connect: the shared key, its replacement, and the incarnation.

use trefoildyke_types::id;
use trefoildyke_wire::peer;

use crate::peer::nodes;

const OLD: &str = "the old key, 16+";
const NEW: &str = "the new key, 16+";

fn transcript() -> peer::Transcript {
    peer::Transcript {
        client: id::Incarnation::from_u64(1),
        server: id::Incarnation::from_u64(2),
        client_nonce: [3; 16],
        server_nonce: [4; 16],
    }
}

fn keys(texts: &[&str]) -> peer::Keys {
    peer::Keys::new(texts).unwrap()
}

#[tokio::test]
async fn a_peer_with_another_key_is_refused() {
    let limits = peer::Limits::default();
    let server = nodes::serve(&[OLD], limits, nodes::echo()).await;
    let refused = nodes::connect(server.address, &[NEW], limits).await.err().unwrap();
    assert!(matches!(refused, peer::Error::WrongKey), "{refused}");
}

#[tokio::test]
async fn a_key_is_replaced_without_a_refusal_at_any_step() {
    let limits = peer::Limits::default();
    let steps = [
        ([OLD].as_slice(), [OLD].as_slice()),
        (&[OLD, NEW], &[OLD]),
        (&[OLD, NEW], &[NEW, OLD]),
        (&[NEW], &[NEW, OLD]),
        (&[NEW], &[NEW]),
    ];
    for (one, other) in steps {
        for (server_keys, client_keys) in [(one, other), (other, one)] {
            let server = nodes::serve(server_keys, limits, nodes::echo()).await;
            let connected = nodes::connect(server.address, client_keys, limits).await;
            let (client, _driver) = connected.unwrap();
            let context = peer::within(std::time::Duration::from_secs(20));
            assert!(client.exchange(context, peer::Payload::default()).await.is_ok());
        }
    }
}

#[tokio::test]
async fn another_incarnation_at_the_address_is_refused() {
    let limits = peer::Limits::default();
    let server = nodes::serve(&[OLD], limits, nodes::echo()).await;
    let wanted = Some(id::Incarnation::from_u64(nodes::SERVER + 1));
    let identity = nodes::identity(nodes::CLIENT, &[OLD]);
    let refused = peer::connect(server.address, wanted, &identity, limits).await.err().unwrap();
    assert!(matches!(refused, peer::Error::WrongIncarnation { .. }), "{refused}");
}

/// Asks for the upgrade as a daemon would and then sends `proof` in place of a real one.
async fn forge(address: std::net::SocketAddr, proof: &[u8]) -> Vec<u8> {
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
async fn a_client_that_proves_nothing_is_closed_before_any_call() {
    let server = nodes::serve(&[OLD], peer::Limits::default(), nodes::echo()).await;
    assert!(forge(server.address, &[0; 32]).await.is_empty());
}

#[tokio::test]
async fn a_client_that_never_proves_anything_is_closed_in_time() {
    let limits = peer::Limits { handshake_ms: 300, ..peer::Limits::default() };
    let server = nodes::serve(&[OLD], limits, nodes::echo()).await;
    assert!(forge(server.address, &[]).await.is_empty());
}

#[test]
fn a_proof_holds_only_for_its_role_its_key_and_its_transcript() {
    let own = transcript();
    let proof = own.prove(&keys(&[OLD]), peer::Role::Client);
    assert!(own.verify(&keys(&[NEW, OLD]), peer::Role::Client, &proof));
    assert!(!own.verify(&keys(&[OLD]), peer::Role::Server, &proof), "reflected");
    assert!(!own.verify(&keys(&[NEW]), peer::Role::Client, &proof), "another key");
    let changed = [
        peer::Transcript { client_nonce: [9; 16], ..own },
        peer::Transcript { server_nonce: [9; 16], ..own },
        peer::Transcript { client: id::Incarnation::from_u64(9), ..own },
        peer::Transcript { server: id::Incarnation::from_u64(9), ..own },
    ];
    for other in changed {
        assert!(!other.verify(&keys(&[OLD]), peer::Role::Client, &proof), "replayed: {other:?}");
    }
}

#[test]
fn a_short_key_or_no_key_is_refused() {
    assert!(matches!(peer::Keys::new(&["short"]), Err(peer::Error::NoKey)));
    assert!(matches!(peer::Keys::new::<&str>(&[]), Err(peer::Error::NoKey)));
}
