/**
 * Runs long computations in short slices, so that the event loop keeps serving requests.
 *
 * A computation is a generator that yields between its steps. A step is much shorter than a slice.
 */

import * as kernel from "@hemlockwalk/kernel";

/** Time after which a computation returns to the event loop. */
const SLICE_MILLISECONDS = 1;

/** Runs a computation synchronously. */
export function runSynchronously<Result>(steps: Generator<void, Result>): Result {
  for (;;) {
    const step = steps.next();
    if (step.done === true) {
      return step.value;
    }
  }
}

/** Runs a computation in slices, returning to the event loop after each. */
export async function runInSlices<Result>(steps: Generator<void, Result>): Promise<Result> {
  let sliceStart = kernel.getMonotonicMilliseconds();
  for (;;) {
    const step = steps.next();
    if (step.done === true) {
      return step.value;
    }
    if (kernel.getMonotonicMilliseconds() - sliceStart >= SLICE_MILLISECONDS) {
      await new Promise<void>((resolve) => setImmediate(resolve));
      sliceStart = kernel.getMonotonicMilliseconds();
    }
  }
}
