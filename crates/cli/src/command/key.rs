//! `key`: generates keys and prints their hashes.

use std::io;

use rand::RngCore as _;
use sha2::Digest as _;
use trefoildyke_decide::config;

use crate::{failure::Failure, options, output};

/// The length of a generated key, in bytes.
const KEY_BYTES: usize = 32;

/// The hash of a key, and the key itself if it was generated.
#[derive(serde::Serialize)]
struct KeyHash {
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<String>,
    hash: String,
}

/// Generates or reads a key and shows its hash for `key_hashes` or `token_hashes`.
pub(crate) fn execute(
    options: &options::Key,
    format: output::Format,
    out: &mut dyn io::Write,
) -> Result<(), Failure> {
    let key_hash = if options.stdin {
        let text = io::read_to_string(io::stdin())
            .map_err(|cause| Failure::File { path: "standard input".to_owned(), cause })?;
        let key = text.trim_end_matches(['\r', '\n']);
        if key.is_empty() {
            return Err(Failure::Usage("standard input holds no key".to_owned()));
        }
        KeyHash { key: None, hash: hash(key) }
    } else {
        let key = generate_key();
        KeyHash { hash: hash(&key), key: Some(key) }
    };
    output::show(format, &key_hash, table, out)
}

fn generate_key() -> String {
    let mut bytes = [0; KEY_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    config::KeyHash::new(bytes).to_string()
}

fn hash(key: &str) -> String {
    config::KeyHash::new(sha2::Sha256::digest(key.as_bytes()).into()).to_string()
}

fn table(key_hash: &KeyHash) -> output::Table {
    let mut table = output::Table::new(&["KEY", "HASH"]);
    table.add_row(&[key_hash.key.clone().unwrap_or_else(|| "-".to_owned()), key_hash.hash.clone()]);
    table
}
