//! The operators' tokens.

use sha2::Digest;
use subtle::ConstantTimeEq;
use trefoildyke_decide::config;
use trefoildyke_types::error;

/// Holds the hashes of the tokens that operators may send.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tokens(Vec<config::KeyHash>);

impl Tokens {
    /// Reads the SHA-256 hashes of tokens, 64 lower-case hexadecimal digits each.
    ///
    /// # Errors
    ///
    /// Fails with `Invalid` and the index of the first text that is no hash.
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

    /// Returns whether the token is one of the operators'.
    ///
    /// Takes the same time for every token of a length, so that nothing can be learned from it.
    pub fn accepts(&self, token: &str) -> bool {
        let hash: [u8; 32] = sha2::Sha256::digest(token.as_bytes()).into();
        let matches = self.0.iter().map(|own| own.as_bytes().ct_eq(&hash));
        matches.fold(subtle::Choice::from(0), |any, one| any | one).into()
    }
}
