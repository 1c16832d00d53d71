/** Exit codes of `sassafrasctl`. */
export const CTL_EXIT_CODES = {
  /** The command succeeded. */
  ok: 0,
  /** The process refused the request or answered with an error. */
  failed: 1,
  /** The command line, a file or the settings are invalid; the findings are printed. Nothing was changed. */
  invalid: 2,
  /** Another change was accepted first, or the operation id belongs to another change. Nothing was changed. */
  conflict: 3,
  /** No process answered, there is no quorum, or no log mentions the request. Nothing was changed. */
  unavailable: 4,
  /** The answer was lost: the change may be in force. Submit it again with the same operation id. */
  unknown: 5,
  /** A version was accepted that is not in force at some nodes yet, or their versions could not be read. */
  lagging: 6,
  /** `diff` found differences; `trace` found outcomes that differ from the recorded ones. */
  differs: 7
} as const

export type CtlExitCode = typeof CTL_EXIT_CODES[keyof typeof CTL_EXIT_CODES]
