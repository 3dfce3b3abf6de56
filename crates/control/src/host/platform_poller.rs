//! Reads the platform's list of servers page by page. A list counts only if every page of it was read.

use std::net::SocketAddr;

use eyre::{WrapErr, eyre};
use protocol::platform::{self, Server};
use protocol::settings::CloudApi;

use crate::dataplane_types::{ConnectionKey, FrameLimits, parse_framed_response};
use crate::limits;

/// After this many failed polls in a row another replica may do better.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// A poll in progress.
#[derive(Debug)]
struct PollRound {
    servers: Vec<Server>,
    /// The page that is requested, or is to be; none for the first one.
    page: Option<String>,
    /// The page is requested, and has to be received by this time.
    deadline: Option<i64>,
}

/// The poller of this process, whether it has the role or not.
#[derive(Debug)]
pub(super) struct PlatformPoller {
    pub(super) address: SocketAddr,
    /// The least interval of two requests.
    call_interval: i64,
    /// When the next poll begins.
    next_poll: i64,
    next_call: i64,
    pub(super) connection: Option<ConnectionKey>,
    round: Option<PollRound>,
    consecutive_failures: u32,
    limits: FrameLimits,
}

/// What an answer has brought.
pub(super) enum PollResult {
    /// The answer is not complete yet.
    Incomplete,
    /// More pages follow.
    MorePages,
    /// The whole list.
    Complete(Vec<Server>),
}

impl PlatformPoller {
    pub(super) fn new(settings: &CloudApi) -> PlatformPoller {
        // Some requests are left for the process that had the role before, and for a clock that is a little off.
        let rate = (settings.per_s * 0.8).max(0.5);
        let limits = FrameLimits {
            max_buffered_body_bytes: limits::MAX_PAGE_BYTES,
            ..FrameLimits::default()
        };
        let gap = (1e6 / rate) as i64;
        let (connection, round) = (None, None);
        PlatformPoller {
            address: settings.addr,
            call_interval: gap,
            next_poll: 0,
            next_call: 0,
            connection,
            round,
            consecutive_failures: 0,
            limits,
        }
    }

    /// When the poller is to be called again, while this replica has the role.
    pub(super) fn wake_at(&self) -> i64 {
        match &self.round {
            None => self.next_poll.max(self.next_call),
            Some(PollRound {
                deadline: Some(deadline),
                ..
            }) => *deadline,
            Some(_) => self.next_call,
        }
    }

    /// The request that is due now, if one is.
    pub(super) fn next_request(&mut self, now: i64) -> Option<String> {
        if self.round.is_none() && now >= self.next_poll {
            self.next_poll = now + limits::POLL_INTERVAL;
            self.round = Some(PollRound {
                servers: Vec::new(),
                page: None,
                deadline: None,
            });
        }
        let round = self
            .round
            .as_mut()
            .filter(|round| round.deadline.is_none() && now >= self.next_call)?;
        self.next_call = now + self.call_interval;
        round.deadline = Some(now + limits::PAGE_TIMEOUT);
        let query = round.page.as_deref().map(|page| {
            let page: String = form_urlencoded::byte_serialize(page.as_bytes()).collect();
            format!("?pagetok={page}")
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

    /// Whether a page is requested.
    pub(super) fn is_waiting(&self) -> bool {
        self.round
            .as_ref()
            .is_some_and(|round| round.deadline.is_some())
    }

    /// Gives up the poll; the next one begins at its time. Gives whether too many have failed in a row.
    pub(super) fn abandon_round(&mut self) -> bool {
        self.round = None;
        self.consecutive_failures += 1;
        if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES {
            std::mem::take(&mut self.consecutive_failures) > 0
        } else {
            false
        }
    }

    /// This replica does not have the role: what it has read so far is of no use later.
    pub(super) fn pause(&mut self) {
        self.round.take_if(|round| round.deadline.is_none());
        self.consecutive_failures = 0;
    }

    /// The connection that was kept open had been closed: the poll restarts.
    pub(super) fn restart(&mut self, now: i64) {
        self.round = None;
        self.next_poll = now;
    }

    /// Reads what was received. Gives what it has brought, and whether the connection may carry the next request.
    ///
    /// # Errors
    /// What was received is no page; nothing of the poll counts.
    pub(super) fn read(&mut self, input: &mut Vec<u8>) -> eyre::Result<(PollResult, bool)> {
        let step = || format!("list of servers from {}", self.address);
        let Some((answer, length)) =
            parse_framed_response(input, &self.limits).wrap_err_with(step)?
        else {
            return Ok((PollResult::Incomplete, true));
        };
        input.drain(..length);
        // Hazard: only its position tells which request an answer is for. What follows it is a second answer to the same
        // request, and would be taken for the next page, or for the next poll's list.
        let keep_open = answer.keep_alive && input.is_empty();
        let Some(mut round) = self.round.take().filter(|round| round.deadline.is_some()) else {
            return Err(eyre!("an answer to no request")).wrap_err_with(step);
        };
        if answer.status != 200 {
            return Err(eyre!("status {}", answer.status)).wrap_err_with(step);
        }
        let page = platform::parse_page(&answer.body).wrap_err_with(step)?;
        round.servers.extend(page.servers);
        match page.next_cursor.filter(|next| !next.is_empty()) {
            None => {
                self.consecutive_failures = 0;
                Ok((PollResult::Complete(round.servers), keep_open))
            }
            Some(next) => {
                self.round = Some(PollRound {
                    servers: round.servers,
                    page: Some(next),
                    deadline: None,
                });
                Ok((PollResult::MorePages, keep_open))
            }
        }
    }
}

#[cfg(test)]
mod tests;
