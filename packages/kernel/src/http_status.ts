/**
 * Statuses of HTTP responses (RFC 9110, section 15), apart from what parsers accept as one.
 */

const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;

/** Whether a status is that of a final response. */
export function isFinalStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS;
}
