//! Reload of the configuration: what may change while the program runs is applied, other changes are logged.

use super::*;
use crate::config::ConfigError;

impl Host {
    /// Applies a configuration that was completely validated. Connections, counts and requests are kept; the discovery
    /// watch and the counter connections are reconnected if their addresses have changed.
    pub fn reload(&mut self, config: Config) {
        // The environment may override the address in the file. The override, made at start, holds until the address
        // in the file itself changes.
        let changed_address = config
            .file_discovery
            .filter(|_| config.file_discovery != self.discovery_address_in_file);
        self.discovery_address_in_file = config.file_discovery;
        if let Some(address) = changed_address.filter(|address| *address != self.discovery_address)
        {
            self.discovery_address = address;
            self.watch.retry_delay = self.limits.watch_retry_delay;
            // The new watch starts from the version of the list held here, so that no change is missed.
            self.open_discovery_watch();
        }
        let counter_address = config.counter.filter(|_| self.settings.counter_available);
        if counter_address != self.counter_address {
            self.counter_address = counter_address;
            for index in 0..self.counter_connections.len() {
                self.counter_connections[index].begin_move();
                self.reconnect_moved_counter(index);
            }
        }
        self.peers.set_addresses(config.peers);
        if let (Some(introspection), Some(introspection_config), None) =
            (&mut self.introspection, config.introspection, &self.cluster)
        {
            introspection.set_callers(introspection_config.callers);
        }
        let fixed_keys = [
            ("listen", config.listen == self.listen_address),
            ("settings", config.settings == self.settings),
            ("limits", config.limits == self.limits),
        ];
        let address_text =
            |address: Option<SocketAddr>| address.map_or("none".to_string(), |a| a.to_string());
        self.log(&format!(
            "configuration reloaded: discovery {}, counter {}",
            self.discovery_address,
            address_text(self.counter_address)
        ));
        for (key, _) in fixed_keys.iter().filter(|(_, unchanged)| !unchanged) {
            self.log(&format!(
                "configuration: change of '{key}' takes effect at the next start"
            ));
        }
    }

    /// Logs that an invalid configuration was rejected; nothing changes.
    pub fn reject_reload(&self, error: &ConfigError) {
        self.warn(&format!(
            "configuration rejected, the previous one stays in effect: {error}"
        ));
    }
}
