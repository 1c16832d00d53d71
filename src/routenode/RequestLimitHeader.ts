const DECIMAL_PATTERN = /^\d{1,9}(\.\d+)?$/

/**
 * Parses the header in which an instance names its request limit.
 * @param text Value of the header: a decimal number.
 * @returns Requests a second; undefined when the value is malformed.
 */
export function parseRequestLimit (text: string): number | undefined {
  return DECIMAL_PATTERN.test(text) ? Number(text) : undefined
}
