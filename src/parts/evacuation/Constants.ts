/**
 * Time over which traffic leaves an evacuated zone and returns to it, in milliseconds. Operators expect an empty zone
 * 5 s after the acknowledgement; nodes usually learn of the order within one of them.
 */
export const TRAFFIC_SHIFT_MS = 2000

/**
 * Time from the moment that a node learns of the evacuation of its zone until its gate admits nothing, in milliseconds:
 * `TRAFFIC_SHIFT_MS`, and half a second for nodes that learn later.
 */
export const GATE_CLOSE_DELAY_MS = 2500
