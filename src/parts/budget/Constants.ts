/** Constants of the measuring budget. */

/** Length of the window over which the byte budget holds, wherever the window starts. */
export const WINDOW_MS = 1000

/** Steps in which the window is kept; more steps lose less of the budget to rounding. */
export const WINDOW_STEPS = 20

/** Share of the byte budget that only heartbeats may spend, 0 to 1. */
export const HEARTBEAT_SHARE = 0.25

/** Message credit that may pile up while calls are served and nothing is measured. */
export const MESSAGE_BURST = 2
