//! `key`: makes keys and prints their hashes.

use std::io;

use rand::RngCore as _;
use sha2::Digest as _;
use trefoildyke_decide::config;

use crate::{failure::Failure, options, output};

/// The length of a key that is made, in bytes.
const KEY_BYTES: usize = 32;

/// Holds a key's hash, and the key if it was made here.
#[derive(serde::Serialize)]
struct Made {
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<String>,
    hash: String,
}

/// Makes a key, or reads one, and shows its hash for `key_hashes` or `token_hashes`.
pub(crate) fn execute(
    options: &options::Key,
    format: output::Format,
    out: &mut dyn io::Write,
) -> Result<(), Failure> {
    let made = if options.stdin {
        let text = io::read_to_string(io::stdin())
            .map_err(|cause| Failure::File { path: "standard input".to_owned(), cause })?;
        let key = text.trim_end_matches(['\r', '\n']);
        if key.is_empty() {
            return Err(Failure::Usage("standard input holds no key".to_owned()));
        }
        Made { key: None, hash: hash(key) }
    } else {
        let key = make();
        Made { hash: hash(&key), key: Some(key) }
    };
    output::show(format, &made, table, out)
}

fn make() -> String {
    let mut bytes = [0; KEY_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    config::KeyHash::new(bytes).to_string()
}

fn hash(key: &str) -> String {
    config::KeyHash::new(sha2::Sha256::digest(key.as_bytes()).into()).to_string()
}

fn table(made: &Made) -> output::Table {
    let mut table = output::Table::new(&["KEY", "HASH"]);
    table.row(&[made.key.clone().unwrap_or_else(|| "-".to_owned()), made.hash.clone()]);
    table
}
