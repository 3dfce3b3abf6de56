//! A new configuration under load: what may change while the program runs is taken over, the rest is named.

use super::*;
use crate::config::ConfigError;

impl Host {
    /// Goes over to a configuration that was read and checked whole. Connections, counts and requests stay; the
    /// watch and the counter's lines move if their addresses have changed.
    pub fn reload(&mut self, config: Config) {
        // Guards the override: the environment names the address of the start, and stands above the file until the
        // file itself changes.
        let changed = config
            .file_discovery
            .filter(|_| config.file_discovery != self.discovery_address_in_file);
        self.discovery_address_in_file = config.file_discovery;
        if let Some(discovery) = changed.filter(|address| *address != self.discovery_address) {
            self.discovery_address = discovery;
            self.watch.retry_delay = self.limits.watch_retry_delay;
            // The watch goes on from the version of the list held here, so that no change is missed.
            self.open_discovery_watch();
        }
        let counter = config.counter.filter(|_| self.settings.counter_available);
        if counter != self.counter_address {
            self.counter_address = counter;
            for line in 0..self.counter_connections.len() {
                self.counter_connections[line].begin_move();
                self.reconnect_moved_counter(line);
            }
        }
        self.peers.set_addresses(config.peers);
        if let (Some(tokens), Some(front), None) =
            (&mut self.introspection, config.introspection, &self.cluster)
        {
            tokens.set_callers(front.callers);
        }
        let kept = [
            ("listen", config.listen == self.listen_address),
            ("settings", config.settings == self.settings),
            ("limits", config.limits == self.limits),
        ];
        let told =
            |address: Option<SocketAddr>| address.map_or("none".to_string(), |a| a.to_string());
        self.log(&format!(
            "configuration taken: discovery {}, counter {}",
            self.discovery_address,
            told(self.counter_address)
        ));
        for (key, _) in kept.iter().filter(|(_, same)| !same) {
            self.log(&format!(
                "configuration: '{key}' has changed, which holds from the next start"
            ));
        }
    }

    /// A configuration that cannot be used changes nothing.
    pub fn reject_reload(&self, error: &ConfigError) {
        self.warn(&format!(
            "configuration not taken, all stays as it was: {error}"
        ));
    }
}
