//! Engine orders: commands to engines, carried out once and protected by a fencing token.

use crate::id;

/// The action that an engine order requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum OrderAction {
    /// Load a model version from the weight store.
    LoadModel {
        /// The model to load.
        model: id::ModelName,
        /// The version to load.
        version: String,
    },
    /// Load an adapter from the weight store.
    LoadAdapter {
        /// The adapter to load.
        adapter: String,
    },
    /// Change the engine's role, such as `prefill` or `decode`.
    SetRole {
        /// The new role.
        role: String,
    },
}

/// The specification of an engine order, which goes to one engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineOrderSpec {
    /// The endpoint of the engine that gets the order.
    pub endpoint: id::EndpointName,
    /// What the engine is to do.
    pub action: OrderAction,
}
