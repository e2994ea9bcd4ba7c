//! The shared keys by which daemons authenticate one another.

use std::fmt;

use hmac::Mac;

use crate::peer;

const MIN_KEY_BYTES: usize = 16;

/// The shared keys: the first one signs, and all of them verify.
///
/// To replace a key, configure `[old, new]` on every daemon, then `[new, old]` on every daemon, then
/// `[new]`.
#[derive(Clone)]
pub struct Keys {
    /// Not empty; each key has at least 16 bytes.
    keys: Vec<Vec<u8>>,
}

impl Keys {
    /// Creates the list of keys, the signing key first.
    ///
    /// # Errors
    ///
    /// [`peer::Error::NoKey`] if the list is empty or a key is shorter than 16 bytes.
    pub fn new<K: AsRef<[u8]>>(keys: &[K]) -> Result<Self, peer::Error> {
        let short = keys.iter().any(|key| key.as_ref().len() < MIN_KEY_BYTES);
        if keys.is_empty() || short {
            return Err(peer::Error::NoKey);
        }
        Ok(Self { keys: keys.iter().map(|key| key.as_ref().to_vec()).collect() })
    }

    /// Signs `message` with the first key.
    pub(crate) fn sign(&self, message: &[u8]) -> [u8; 32] {
        mac(&self.keys[0], message).finalize().into_bytes().into()
    }

    /// Returns whether `proof` is the signature of `message` by any of the keys.
    ///
    /// The time that this takes does not depend on the proof.
    pub(crate) fn verify(&self, message: &[u8], proof: &[u8]) -> bool {
        self.keys.iter().fold(false, |found, key| {
            let matches = mac(key, message).verify_slice(proof).is_ok();
            found | matches
        })
    }
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Keys({})", self.keys.len())
    }
}

fn mac(key: &[u8], message: &[u8]) -> hmac::Hmac<sha2::Sha256> {
    // HMAC accepts keys of any length, so this never fails.
    let mut mac = hmac::Hmac::<sha2::Sha256>::new_from_slice(key).expect("any length is a key");
    mac.update(message);
    mac
}
