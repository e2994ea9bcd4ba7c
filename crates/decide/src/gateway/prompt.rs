//! The parts of a prompt that other prompts may begin with as well.

/// Names a part of a prompt together with all parts before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PromptPart {
    /// Stands for the model, the part and all before it: equal keys are equal beginnings.
    pub key: u64,
    /// How many tokens the part has.
    pub tokens: u32,
}

/// How many parts of a prompt are told apart at most; what follows counts as the request's own.
const MOST_PARTS: usize = 8;

/// Reads the parts of a prompt for `model`, in order: `ID:TOKENS` separated by commas.
///
/// What cannot be read ends the list: it only means that more has to be read than is expected.
pub fn prompt_parts(model: &str, text: &str) -> Vec<PromptPart> {
    let mut parts = Vec::new();
    let mut key = xxhash_rust::xxh3::xxh3_64(model.as_bytes());
    for part in text.split(',').take(MOST_PARTS) {
        let Some((id, tokens)) = part.trim().split_once(':') else { break };
        let Ok(tokens) = tokens.trim().parse() else { break };
        key = xxhash_rust::xxh3::xxh3_64_with_seed(id.trim().as_bytes(), key);
        parts.push(PromptPart { key, tokens });
    }
    parts
}
