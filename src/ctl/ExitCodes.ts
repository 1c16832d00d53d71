/** Exit codes of `sassafrasctl`. */
export const CTL_EXIT_CODES = {
  /** Done, or nothing to tell. */
  ok: 0,
  /** The process that was asked refused or answered with an error. */
  failed: 1,
  /** The command line, a file or the settings are wrong; the findings are told. Nothing was changed. */
  invalid: 2,
  /** Another change came first, or the operation id belongs to another change. Nothing was changed. */
  conflict: 3,
  /** No process answered, there is no quorum, or no log names the request. Nothing was changed. */
  unavailable: 4,
  /** The answer was lost: the change may be in force. Send it again with the same operation id. */
  unknown: 5,
  /** The configuration is accepted, and some nodes do not have it yet. */
  lagging: 6,
  /** `diff` found differences; `trace` found outcomes that did not come about. */
  differs: 7
} as const

export type CtlExitCode = typeof CTL_EXIT_CODES[keyof typeof CTL_EXIT_CODES]
