/** Constants of the measuring budget. */

/** Length of the window over which the byte budget holds, wherever the window starts, in milliseconds. */
export const WINDOW_MS = 1000

/** Steps that the window is divided into; with more steps, less of the budget is lost to rounding. */
export const WINDOW_STEPS = 20

/** Share of the byte budget reserved for heartbeats, 0 to 1. */
export const HEARTBEAT_SHARE = 0.25

/** Largest message credit that accumulates while calls are served and nothing is measured. */
export const MESSAGE_BURST = 2
