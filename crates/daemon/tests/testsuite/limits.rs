//! Settings out of range are rejected, and services start with any settings within range.

use proptest::prelude::*;
use trefoildyke_daemon::{config, operators, orders, settings};
use trefoildyke_types::id;
use trefoildyke_wire::platform;

fn settings(section: &str) -> Result<settings::Settings, settings::Error> {
    let text = format!("{{host: h, zone: z, peers: {{keys: [sixteen-bytes-or-more]}}, {section}}}");
    settings::Settings::from_yaml(&text)
}

#[test]
fn a_setting_that_would_stop_a_service_is_refused_by_its_name() {
    let sections = [
        "config: {watchers: 0}",
        "config: {watch_ms: 0}",
        "config: {retry_ms: 0}",
        "config: {poll_ms: 0}",
        "config: {write_ms: 0}",
        "operators: {limits: {page: 0}}",
        "operators: {limits: {changes: 0}}",
        "operators: {limits: {changes: 9000000000000000000}}",
        "operators: {limits: {watches: 9000000000000000000}}",
        "operators: {limits: {body_ms: 0}}",
        "operators: {limits: {resource_bytes: 1}}",
    ];
    let messages = sections.map(|section| settings(section).unwrap_err().to_string());
    insta::assert_snapshot!(messages.join("\n"));
}

/// Creates the services that use the settings.
async fn start(settings: &settings::Settings) {
    let client = platform::KvClient::new(settings.platform.kv_settings());
    let (handle, keeper) = config::new(settings.config.clone(), client.clone());
    let (_, newest) = tokio::sync::watch::channel(None);
    let (_, view) = tokio::sync::watch::channel(Default::default());
    let own = id::Incarnation::from_u64(1);
    let request_changes: config::RequestChanges =
        std::sync::Arc::new(|_, _| Box::pin(std::future::pending()));
    let follow = handle.clone().follow(config::Peers { own, view, newest, request_changes });
    let api = operators::Api::new(
        settings.operators.limits.clone(),
        operators::Identity { host: id::HostName::new("h"), incarnation: own },
        operators::Tokens::parse(&settings.operators.token_hashes).unwrap(),
        handle,
        orders::Handle::new(client),
        tokio::sync::watch::channel(operators::Progress::default()).1,
        std::sync::Arc::new(|_| Default::default()),
    );
    let short_time = std::time::Duration::from_millis(1);
    let both = async { tokio::join!(keeper.run(), follow) };
    // Neither future ends by itself; the test checks that neither panics.
    let _ = tokio::time::timeout(short_time, both).await;
    drop(api);
}

proptest! {
    #[test]
    fn any_settings_are_rejected_or_work(
        section in prop::sample::select(vec!["config", "operators", "callers", "peers"]),
        field in prop::sample::select(vec![
            "watchers", "watch_ms", "retry_ms", "poll_ms", "write_ms", "page", "changes", "watches",
            "body_ms", "resource_bytes", "change_bytes", "unknown",
        ]),
        value in prop_oneof![0..3_u64, any::<u64>()],
    ) {
        let text = match section {
            "operators" => format!("operators: {{limits: {{{field}: {value}}}}}"),
            section => format!("{section}: {{{field}: {value}}}"),
        };
        if let Ok(settings) = settings(&text) {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(start(&settings));
        }
    }

    #[test]
    fn any_text_gives_settings_or_an_error(text in "\\PC{0,200}") {
        if let Err(error) = settings::Settings::from_yaml(&text) {
            prop_assert!(error.to_string().contains("; "));
        }
    }
}
