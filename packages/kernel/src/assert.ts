/**
 * Assertions for conditions that only a bug in the code can violate.
 */

/** Thrown by a failed assertion. It reports a bug, so no code handles it specifically. */
export class AssertionError extends Error {
  override readonly name = "AssertionError";
}

/** Throws when the condition does not hold. */
export function assert(condition: boolean, message: string): asserts condition {
  if (!condition) {
    throw new AssertionError(message);
  }
}

/** Marks a branch that the type system shows to be unreachable. */
export function assertNever(value: never): never {
  throw new AssertionError(`Unexpected value: ${JSON.stringify(value)}`);
}

/** Returns the value, which must be defined. */
export function getDefined<T>(value: T | undefined, message: string): T {
  assert(value !== undefined, message);
  return value;
}
