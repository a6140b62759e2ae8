/**
 * Runs long computations in short slices, so that the event loop goes on serving requests.
 *
 * A computation is a generator that yields between its steps. A step lasts well under a slice.
 */

import * as kernel from "@hemlockwalk/kernel";

/** Time after which a computation lets other work run. */
const SLICE_MILLISECONDS = 1;

/** Runs a computation to its end without a break. */
export function runAtOnce<Result>(steps: Generator<void, Result>): Result {
  for (;;) {
    const step = steps.next();
    if (step.done === true) {
      return step.value;
    }
  }
}

/** Runs a computation in slices. */
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
