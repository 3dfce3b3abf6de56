//! Reads the platform's list of servers page by page. A list is used only if every page of it was read.

use std::net::SocketAddr;

use eyre::{WrapErr, eyre};
use protocol::platform::{self, Server};
use protocol::settings::CloudApi;

use crate::dataplane_types::{ConnectionKey, FrameLimits, parse_response};
use crate::limits;

/// After this many consecutive failed polls the role is given up, as another replica may reach the platform.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// A poll in progress.
#[derive(Debug)]
struct PollRound {
    servers: Vec<Server>,
    /// The token of the current page; `None` for the first one.
    page_token: Option<String>,
    /// When the requested page has to be received; `None` while no page is requested.
    deadline: Option<i64>,
}

/// The poller of this process, whether it has the role or not.
#[derive(Debug)]
pub(super) struct PlatformPoller {
    pub(super) address: SocketAddr,
    /// The shortest interval between two requests, in microseconds.
    request_interval_us: i64,
    /// When the next poll begins.
    next_poll_at: i64,
    /// When the next request may be sent.
    next_request_at: i64,
    pub(super) connection: Option<ConnectionKey>,
    round: Option<PollRound>,
    consecutive_failures: u32,
    limits: FrameLimits,
}

/// The result of reading a response.
pub(super) enum PollResult {
    /// The response is not complete yet.
    Incomplete,
    /// More pages follow.
    MorePages,
    /// The complete list.
    Complete(Vec<Server>),
}

impl PlatformPoller {
    pub(super) fn new(settings: &CloudApi) -> PlatformPoller {
        // The rest of the rate limit is left for requests of the previous holder of the role, and for clock drift.
        let requests_per_s = (settings.per_s * 0.8).max(0.5);
        let limits = FrameLimits {
            max_buffered_body_bytes: limits::MAX_PAGE_BYTES,
            ..FrameLimits::default()
        };
        let request_interval_us = (1e6 / requests_per_s) as i64;
        let (connection, round) = (None, None);
        PlatformPoller {
            address: settings.addr,
            request_interval_us,
            next_poll_at: 0,
            next_request_at: 0,
            connection,
            round,
            consecutive_failures: 0,
            limits,
        }
    }

    /// When the poller has to run next, while this replica has the role.
    pub(super) fn wake_at(&self) -> i64 {
        match &self.round {
            None => self.next_poll_at.max(self.next_request_at),
            Some(PollRound {
                deadline: Some(deadline),
                ..
            }) => *deadline,
            Some(_) => self.next_request_at,
        }
    }

    /// The request that is due now, if one is.
    pub(super) fn next_request(&mut self, now: i64) -> Option<String> {
        if self.round.is_none() && now >= self.next_poll_at {
            self.next_poll_at = now + limits::POLL_INTERVAL;
            self.round = Some(PollRound {
                servers: Vec::new(),
                page_token: None,
                deadline: None,
            });
        }
        let round = self
            .round
            .as_mut()
            .filter(|round| round.deadline.is_none() && now >= self.next_request_at)?;
        self.next_request_at = now + self.request_interval_us;
        round.deadline = Some(now + limits::PAGE_TIMEOUT);
        let query = round.page_token.as_deref().map(|token| {
            let token: String = form_urlencoded::byte_serialize(token.as_bytes()).collect();
            format!("?pagetok={token}")
        });
        Some(format!(
            "GET /insts{} HTTP/1.1\r\nHost: {}\r\n\r\n",
            query.unwrap_or_default(),
            self.address
        ))
    }

    /// Whether the requested page was not received in time.
    pub(super) fn is_overdue(&self, now: i64) -> bool {
        self.round
            .as_ref()
            .and_then(|round| round.deadline)
            .is_some_and(|deadline| now >= deadline)
    }

    /// Whether a requested page is awaited.
    pub(super) fn is_waiting(&self) -> bool {
        self.round
            .as_ref()
            .is_some_and(|round| round.deadline.is_some())
    }

    /// Discards the failed poll; the next one begins at its scheduled time. Gives whether too many have failed in a row.
    pub(super) fn abandon_round(&mut self) -> bool {
        self.round = None;
        self.consecutive_failures += 1;
        if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES {
            std::mem::take(&mut self.consecutive_failures) > 0
        } else {
            false
        }
    }

    /// Discards the pages read so far while this replica does not have the role. A requested page is still received.
    pub(super) fn pause(&mut self) {
        self.round.take_if(|round| round.deadline.is_none());
        self.consecutive_failures = 0;
    }

    /// Restarts the poll after a connection that was kept open had been closed.
    pub(super) fn restart(&mut self, now: i64) {
        self.round = None;
        self.next_poll_at = now;
    }

    /// Reads received bytes. `is_closed`: the platform has closed the connection in order, which completes a response without a
    /// length. Gives the result, and whether the connection can be used for the next request.
    ///
    /// # Errors
    /// The response is no page of the list; the whole poll is discarded.
    pub(super) fn read(
        &mut self,
        input: &mut Vec<u8>,
        is_closed: bool,
    ) -> eyre::Result<(PollResult, bool)> {
        let context = || format!("list of servers from {}", self.address);
        let Some((response, length)) =
            parse_response(input, is_closed, &self.limits).wrap_err_with(context)?
        else {
            return Ok((PollResult::Incomplete, true));
        };
        input.drain(..length);
        // A response belongs to a request by its position alone. Bytes that follow it are a second response to the same request
        // and would be taken for the next page, or for the list of the next poll: the connection has to be closed.
        let keep_open = response.keep_alive && input.is_empty() && !is_closed;
        let Some(mut round) = self.round.take().filter(|round| round.deadline.is_some()) else {
            return Err(eyre!("response without a request")).wrap_err_with(context);
        };
        if response.status != 200 {
            return Err(eyre!("status {}", response.status)).wrap_err_with(context);
        }
        let page = platform::parse_page(&response.body).wrap_err_with(context)?;
        round.servers.extend(page.servers);
        match page.next_cursor.filter(|next| !next.is_empty()) {
            None => {
                self.consecutive_failures = 0;
                Ok((PollResult::Complete(round.servers), keep_open))
            }
            Some(next) => {
                self.round = Some(PollRound {
                    servers: round.servers,
                    page_token: Some(next),
                    deadline: None,
                });
                Ok((PollResult::MorePages, keep_open))
            }
        }
    }
}

#[cfg(test)]
mod tests;
