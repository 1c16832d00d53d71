/**
 * Interval of pings on a link that has outstanding calls and receives nothing, in milliseconds: a usual call ends
 * within one or two intervals. While a ping has been unanswered for as long, new calls go to other nodes.
 */
export const LINK_PING_INTERVAL_MS = 150

/**
 * Time that a ping on a link with outstanding calls may go unanswered before the link counts as lost, in milliseconds:
 * six pings.
 */
export const LINK_TIMEOUT_MS = 1000

/**
 * Time for which calls wait for the first connection of a link, in milliseconds: some round trips and the work of busy
 * nodes at both ends. After that they go to other nodes.
 */
export const LINK_OPEN_WAIT_MS = 150

/** Timeout of a connect to the instance on the same VM, in milliseconds; a connect usually takes well under 1 ms. */
export const INSTANCE_CONNECT_TIMEOUT_MS = 400

/**
 * Idle time after which a connection is not used for an at-most-once request, in milliseconds. Such a request is not
 * sent again when the instance has closed the connection meanwhile.
 */
export const AT_MOST_ONCE_MAX_IDLE_MS = 1000

/** Largest number of idle connections to the instance that are kept open. */
export const MAX_IDLE_CONNECTIONS = 32

/** Interval of health checks of an instance that was lost or is not known yet, in milliseconds. */
export const RECOVERY_CHECK_INTERVAL_MS = 250

/** Timeout of a health check, in milliseconds. */
export const HEALTH_CHECK_TIMEOUT_MS = 500

/**
 * Interval of health checks while an instance is taken as cold without having said so in one, in milliseconds, and the
 * timeout of a check that shows whether it is cold: calls wait for it, but a busy VM may take tens of milliseconds.
 */
export const COLD_STATE_CHECK_INTERVAL_MS = 250
export const COLD_CHECK_TIMEOUT_MS = 100

/** Timeout of a load query, in milliseconds; calls wait for its result, which usually takes 1 or 2 ms. */
export const LOAD_QUERY_TIMEOUT_MS = 20

/** Interval at which a departure is sent again until it is stored, in milliseconds: some commits on slow disks. */
export const DEPARTURE_RESEND_INTERVAL_MS = 200

/**
 * Longest time for which an instance that leaves waits for its acknowledgement, in milliseconds: it gives up after a
 * second, and asks again.
 */
export const DEPARTURE_CONFIRM_TIMEOUT_MS = 800

/** Interval of pings to the control replica that a node is connected to, in milliseconds. */
export const FEED_PING_INTERVAL_MS = 500

/** Interval at which a node checks whether that replica is silent, in milliseconds; it adds to `FEED_TIMEOUT_MS`. */
export const FEED_CHECK_INTERVAL_MS = 100

/** Time without a frame from that replica after which the node connects to another, in milliseconds. */
export const FEED_TIMEOUT_MS = 1200

/** Longest time from the connect to a control replica until the first bytes of its welcome, in milliseconds. */
export const FEED_WELCOME_TIMEOUT_MS = 1500

/**
 * Time without bytes of the welcome after which a node that has been connected before tries the next replica, in
 * milliseconds; it doubles up to `FEED_WELCOME_TIMEOUT_MS`. Two more silent replicas then end within 3 s of the first
 * one's last frame.
 */
export const FEED_WELCOME_TIMEOUT_MIN_MS = 300

/** Rate below which a welcome that is arriving is given up, in Mbit/s; less than half of the slowest links in use. */
export const FEED_MIN_LINK_MBPS = 1

/** Delay before a connect to the next control replica, in milliseconds. */
export const FEED_RECONNECT_DELAY_MS = 100

/** Instances that may decline a request before the answer of the next one is final; each costs a round trip. */
export const MAX_DECLINES = 3

/**
 * Time after which a call that waited at its last gate in vain tries one more instance, in milliseconds: long enough
 * that the load of the instances that declined it before has changed.
 */
export const LAST_TRY_MIN_WAIT_MS = 20

/** Share of the retry budget that hedges may use; the rest is kept for retries of failed requests, which are fewer. */
export const HEDGE_BUDGET_SHARE = 0.7

/** Instances that may decline a hedge before it is given up; each costs a round trip, and a later hedge gains less. */
export const MAX_HEDGE_DECLINES = 2

/** Largest answer that is relayed, in bytes; a node keeps all of it in memory until its caller has received it. */
export const MAX_ANSWER_BYTES = 15 * 1024 * 1024

/** Bytes of an answer that are passed to a caller's connection at once. */
export const ANSWER_PIECE_BYTES = 64 * 1024

/** Interval at which stalled receivers are looked for while answers wait for memory, in milliseconds. */
export const ANSWER_CHECK_INTERVAL_MS = 250

/**
 * Largest body that is sent in the frame of its call, in bytes. Larger ones follow in chunks, as a frame above
 * `MAX_FRAME_BYTES` closes the connection with all calls on it, and pings wait behind a large one.
 */
export const MAX_INLINE_BODY_BYTES = 4 * 1024 * 1024

/** Largest answer to a load query whose connection is kept, in bytes; such answers are nearly empty. */
export const MAX_QUERY_ANSWER_BYTES = 16 * 1024

/**
 * Longest Retry-After of a node that has no configuration yet, in milliseconds: a configuration arrives within a second
 * or two of a start, so most nodes have one by then.
 */
export const NOT_READY_RETRY_AFTER_MS = 1500

/**
 * Retry-After while all instances of a service are in evacuated zones, in milliseconds. An evacuation usually lasts
 * longer, so the limit by the deadline of the caller decides in most cases.
 */
export const EVACUATED_RETRY_AFTER_MS = 2000

/**
 * Time after a stop signal for which new requests are still accepted, in milliseconds: callers poll the readiness of
 * the node every second, and two polls must fit in.
 */
export const SHUTDOWN_DELAY_MS = 3000

/**
 * Time before the end of `SHUTDOWN_DELAY_MS` at which other nodes are notified, in milliseconds: the notice takes a
 * round trip to reach them, more while they are busy, and the instance gets no new calls from then on.
 */
export const STOP_NOTICE_MS = 300

/**
 * Jitter of Retry-After, so that refused callers do not come back together: up to this share of the latency objective
 * is added, or, while there is no configuration, up to this share of the delay is taken off.
 */
export const RETRY_AFTER_JITTER = 0.5

/** Longest Retry-After as a share of the time that the caller still waits. */
export const RETRY_AFTER_MAX_SHARE = 1 / 3

/** Delay of the second check whether an instance that closed a connection still listens, in milliseconds. */
export const LISTENER_CHECK_DELAY_MS = 50

/**
 * Time without a chunk after which the sender of a body counts as stalled, in milliseconds: a chunk takes 30 ms on a
 * link of 4.41 Mbit/s, and the bodies of several nodes may share the link.
 */
export const BODY_STALL_MS = 1000

/** Retry-After of a body that is refused for memory while the rate of the link is not known, in milliseconds. */
export const BODY_RETRY_AFTER_MS = 1000

/**
 * Time for which the rest of a body is read and discarded after its upload was refused, in milliseconds: a connection
 * that is closed while its caller sends is reset, and the caller may not get the refusal.
 */
export const REFUSED_BODY_LINGER_MS = 5000

/** Interval at which expired suspects are removed while requests arrive, in milliseconds. */
export const QUARANTINE_SWEEP_INTERVAL_MS = 1000

/**
 * Rate of a link below which large frames of the control replica are compressed, in Mbit/s: a thousand routes, about
 * 100 KB, keep such a link busy for more than 10 ms.
 */
export const SLOW_LINK_MBPS = 100

/**
 * Step of the wall clock against the monotonic clock after which the process may have been suspended, in milliseconds:
 * above what a time service corrects between two events of a node.
 */
export const CLOCK_STEP_MS = 100

/** Interval at which the position of a node among all nodes is computed anew while it is needed, in milliseconds. */
export const RANK_INTERVAL_MS = 1000
