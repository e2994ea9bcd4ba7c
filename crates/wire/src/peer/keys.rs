//! The shared keys by which daemons recognise one another.

use std::fmt;

use hmac::Mac;

use crate::peer;

const SHORTEST: usize = 16;

/// Holds the shared keys: the first signs, all verify.
///
/// To replace a key, give every daemon `[old, new]`, then every daemon `[new, old]`, then `[new]`.
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
        let short = keys.iter().any(|key| key.as_ref().len() < SHORTEST);
        if keys.is_empty() || short {
            return Err(peer::Error::NoKey);
        }
        Ok(Self { keys: keys.iter().map(|key| key.as_ref().to_vec()).collect() })
    }

    /// Signs `message` with the first key.
    pub(crate) fn sign(&self, message: &[u8]) -> [u8; 32] {
        mac(&self.keys[0], message).finalize().into_bytes().into()
    }

    /// Returns whether any key signed `message`, in time that does not depend on the proof.
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
    // HMAC takes keys of any length, so this never fails.
    let mut mac = hmac::Hmac::<sha2::Sha256>::new_from_slice(key).expect("any length is a key");
    mac.update(message);
    mac
}
