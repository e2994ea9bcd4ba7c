//! Prefixes of prompts that other prompts may share.

/// One part of a prompt; its key also identifies all parts before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PromptPart {
    /// The hash of the model, this part and all parts before it; equal keys mean equal prompt
    /// prefixes.
    pub key: u64,
    /// The number of tokens in this part.
    pub tokens: u32,
}

/// The maximum number of parts that are distinguished; the rest of a prompt counts as unique to the
/// request.
const MAX_PARTS: usize = 8;

/// Parses the parts of a prompt for `model`, in order, from `ID:TOKENS` pairs separated by commas.
///
/// Parsing stops at the first invalid pair. The only effect is that the endpoint has to process
/// more tokens than expected.
pub fn prompt_parts(model: &str, text: &str) -> Vec<PromptPart> {
    let mut parts = Vec::new();
    let mut key = xxhash_rust::xxh3::xxh3_64(model.as_bytes());
    for part in text.split(',').take(MAX_PARTS) {
        let Some((id, tokens)) = part.trim().split_once(':') else { break };
        let Ok(tokens) = tokens.trim().parse() else { break };
        key = xxhash_rust::xxh3::xxh3_64_with_seed(id.trim().as_bytes(), key);
        parts.push(PromptPart { key, tokens });
    }
    parts
}
