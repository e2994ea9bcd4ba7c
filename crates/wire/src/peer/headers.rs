//! The HTTP headers of the handshake.

use trefoildyke_types::id;

use crate::peer::{Error, PROTOCOL, handshake};

/// The path of the request that opens a peer connection.
pub(crate) const PATH: &str = "/peer";

const INCARNATION: &str = "x-peer-incarnation";
const NONCE: &str = "x-peer-nonce";
const PROOF: &str = "x-peer-proof";

/// The values that one side sends in its headers.
pub(crate) struct Hello {
    pub(crate) incarnation: id::Incarnation,
    pub(crate) nonce: [u8; handshake::NONCE_BYTES],
}

/// Writes the headers that request or confirm the upgrade.
pub(crate) fn write_hello(headers: &mut http::HeaderMap, hello: &Hello) -> Result<(), Error> {
    headers.insert(http::header::CONNECTION, http::HeaderValue::from_static("upgrade"));
    headers.insert(http::header::UPGRADE, http::HeaderValue::from_static(PROTOCOL));
    headers.insert(INCARNATION, header_value(&hello.incarnation.to_string())?);
    headers.insert(NONCE, header_value(&to_hex(&hello.nonce))?);
    Ok(())
}

/// Reads the headers that [`write_hello`] writes.
pub(crate) fn read_hello(headers: &http::HeaderMap) -> Result<Hello, Error> {
    if header_text(headers, http::header::UPGRADE.as_str())? != PROTOCOL {
        return Err(Error::Handshake("another protocol was asked for".to_owned()));
    }
    let incarnation = header_text(headers, INCARNATION)?
        .parse()
        .map_err(|_| Error::Handshake("the incarnation is not a number".to_owned()))?;
    let nonce = from_hex(header_text(headers, NONCE)?)?;
    Ok(Hello { incarnation, nonce })
}

/// Writes the server's proof.
pub(crate) fn write_proof(
    headers: &mut http::HeaderMap,
    proof: &handshake::Proof,
) -> Result<(), Error> {
    headers.insert(PROOF, header_value(&to_hex(proof))?);
    Ok(())
}

/// Reads the server's proof.
pub(crate) fn read_proof(headers: &http::HeaderMap) -> Result<handshake::Proof, Error> {
    from_hex(header_text(headers, PROOF)?)
}

fn header_value(text: &str) -> Result<http::HeaderValue, Error> {
    http::HeaderValue::from_str(text).map_err(|error| Error::Handshake(error.to_string()))
}

fn header_text<'a>(headers: &'a http::HeaderMap, name: &str) -> Result<&'a str, Error> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .ok_or_else(|| Error::Handshake(format!("header {name} is missing")))
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex<const N: usize>(text: &str) -> Result<[u8; N], Error> {
    let invalid = || Error::Handshake("a header is not hexadecimal".to_owned());
    if text.len() != 2 * N || !text.is_ascii() {
        return Err(invalid());
    }
    let mut bytes = [0; N];
    for (index, byte) in bytes.iter_mut().enumerate() {
        let digits = &text[2 * index..2 * index + 2];
        *byte = u8::from_str_radix(digits, 16).map_err(|_| invalid())?;
    }
    Ok(bytes)
}
