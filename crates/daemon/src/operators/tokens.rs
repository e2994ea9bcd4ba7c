//! The tokens of operators.

use sha2::Digest;
use subtle::ConstantTimeEq;
use trefoildyke_decide::config;
use trefoildyke_types::error;

/// The hashes of the tokens that are accepted from operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tokens(Vec<config::KeyHash>);

impl Tokens {
    /// Parses the SHA-256 hashes of tokens, 64 lower-case hexadecimal digits each.
    ///
    /// # Errors
    ///
    /// Fails with `Invalid` and the index of the first text that is not a hash.
    pub fn parse(hashes: &[String]) -> Result<Self, error::Error> {
        let parsed = hashes.iter().enumerate().map(|(index, text)| {
            text.parse().map_err(|error: config::KeyHashError| {
                error::Error::new(error::ErrorKind::Invalid, error.to_string())
                    .at(&format!("token_hashes[{index}]"))
                    .remedy("print one with `trefoildyke key`")
            })
        });
        parsed.collect::<Result<_, _>>().map(Self)
    }

    /// Returns whether a token is accepted.
    ///
    /// Takes the same time for all tokens of the same length, so the duration reveals nothing about the
    /// accepted tokens.
    pub fn accepts(&self, token: &str) -> bool {
        let hash: [u8; 32] = sha2::Sha256::digest(token.as_bytes()).into();
        let matches = self.0.iter().map(|known| known.as_bytes().ct_eq(&hash));
        matches.fold(subtle::Choice::from(0), |any, next| any | next).into()
    }
}
