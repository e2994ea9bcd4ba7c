//! Orders to engines, carried out once under a fencing token.

use crate::id;

/// Says what an engine is told to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum OrderAction {
    /// Load a model version from the weight store.
    LoadModel {
        /// The model.
        model: id::ModelName,
        /// The version to load.
        version: String,
    },
    /// Load an adapter from the weight store.
    LoadAdapter {
        /// The adapter.
        adapter: String,
    },
    /// Change the engine's role, such as `prefill` or `decode`.
    SetRole {
        /// The new role.
        role: String,
    },
}

/// Describes an order to one engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineOrderSpec {
    /// The engine that gets the order.
    pub endpoint: id::EndpointName,
    /// What it is told to do.
    pub action: OrderAction,
}
