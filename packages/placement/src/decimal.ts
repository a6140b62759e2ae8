/**
 * Decimal numbers in headers.
 */

/** Parses a non-negative decimal number; undefined for anything else. */
export function parseDecimal(text: string): number | undefined {
  return /^\s*\d+(\.\d*)?\s*$/.test(text) ? Number(text) : undefined;
}
